package org.sardineport.wire.transport;

/**
 * Sliding window over the sequence numbers received from one sender. Numbers below the
 * window count as received. Not thread-safe.
 */
final class ReplayWindow {

	/** Number of sequence numbers in the window. */
	static final int SIZE = 1024;

	private static final int WORDS = SIZE / Long.SIZE;

	private final long[] seen = new long[WORDS];

	private long highest = -1;

	/**
	 * Marks a sequence number as received.
	 * @param sequence the sequence number
	 * @return whether it is new; false if it was received before, is below the window, or
	 * is negative
	 */
	boolean accept(long sequence) {
		if (sequence < 0 || sequence <= this.highest - SIZE) {
			return false;
		}
		if (sequence > this.highest) {
			clear(this.highest + 1, sequence);
			this.highest = sequence;
		}
		int word = (int) ((sequence / Long.SIZE) % WORDS);
		long bit = 1L << (sequence % Long.SIZE);
		boolean isNew = (this.seen[word] & bit) == 0;
		this.seen[word] |= bit;
		return isNew;
	}

	private void clear(long from, long to) {
		long first = Math.max(from, to - SIZE + 1);
		for (long sequence = first; sequence <= to; sequence++) {
			this.seen[(int) ((sequence / Long.SIZE) % WORDS)] &= ~(1L << (sequence % Long.SIZE));
		}
	}

}
