package org.sardineport.core.configuration;

/**
 * Determines the offset at which a new replica starts reading: near the end of the
 * stream, and further back each time no snapshot was found. The cost of a start therefore
 * does not depend on how long the log retains its records. Not safe for use by several
 * threads.
 */
public final class TailSearch {

	/** Distance of the first start offset from the end of the stream. */
	static final long FIRST_WINDOW = 256;

	/** Factor by which the distance from the end grows with each search. */
	static final long WINDOW_FACTOR = 8;

	private final long endOffset;

	private long window = FIRST_WINDOW;

	private TailSearch(long endOffset) {
		this.endOffset = endOffset;
	}

	/**
	 * Returns a search backwards from the end of the stream.
	 * @param endOffset offset of the next record of the stream
	 * @return the search
	 */
	public static TailSearch before(long endOffset) {
		return new TailSearch(endOffset);
	}

	/**
	 * Returns the next start offset, further back than the previous one.
	 * @return the offset; 0 once the whole stream must be read
	 */
	public long next() {
		long start = Math.max(0, this.endOffset - this.window);
		this.window = Math.min(this.window * WINDOW_FACTOR, Long.MAX_VALUE / WINDOW_FACTOR);
		return start;
	}

}
