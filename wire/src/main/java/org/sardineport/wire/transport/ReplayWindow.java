package org.sardineport.wire.transport;

/**
 * Remembers which of a sender's latest sequence numbers were received. Numbers older than
 * the window count as received.
 */
final class ReplayWindow {

	/** Number of latest sequence numbers remembered. */
	static final int SIZE = 1024;

	private static final int WORDS = SIZE / Long.SIZE;

	private final long[] seen = new long[WORDS];

	private long highest = -1;

	/**
	 * Marks a number as received.
	 * @param sequence the number, not negative
	 * @return whether it had not been received before
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
