package org.sardineport.core.configuration;

/**
 * Decides where a replica that knows nothing begins to read: near the end of the stream,
 * and further back each time no snapshot was found there. So a start costs little,
 * however long the log keeps its records. Not safe for use by several threads.
 */
public final class TailSearch {

	/** Offsets before the end at which the first search begins. */
	static final long FIRST_WINDOW = 256;

	/** How much further back each search begins than the one before. */
	static final long WINDOW_FACTOR = 8;

	private final long endOffset;

	private long window = FIRST_WINDOW;

	private TailSearch(long endOffset) {
		this.endOffset = endOffset;
	}

	/**
	 * Returns a search.
	 * @param endOffset offset of the next record of the stream
	 * @return the search
	 */
	public static TailSearch before(long endOffset) {
		return new TailSearch(endOffset);
	}

	/**
	 * Returns where to begin next, further back than the last time.
	 * @return the offset; 0 from when the whole stream must be read
	 */
	public long next() {
		long start = Math.max(0, this.endOffset - this.window);
		this.window = Math.min(this.window * WINDOW_FACTOR, Long.MAX_VALUE / WINDOW_FACTOR);
		return start;
	}

}
