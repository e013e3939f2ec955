package org.sardineport.core.relay;

/**
 * Bounds the sum of the request bodies that a daemon holds, so that large ones at once do
 * not fill its heap. Small bodies are not counted: their number is bounded by that of the
 * connections. Not thread-safe.
 */
public final class BodyMemory {

	/** Size up to which a body is not counted, in bytes. */
	public static final int SMALL_BYTES = 16 * 1024;

	private final long maximum;

	private long held;

	private BodyMemory(long maximum) {
		this.maximum = maximum;
	}

	/**
	 * Returns a bound under which nothing is held.
	 * @param maximum maximum sum of the bodies, in bytes
	 * @return the bound
	 * @throws IllegalArgumentException if the maximum is not positive
	 */
	public static BodyMemory ofMaximum(long maximum) {
		if (maximum <= 0) {
			throw new IllegalArgumentException("maximum must be positive, found " + maximum);
		}
		return new BodyMemory(maximum);
	}

	/**
	 * Reserves room for a body, or for its growth. A body is admitted whatever its size
	 * if no other one is held.
	 * @param reserved bytes reserved for it so far
	 * @param needed bytes that it needs in all
	 * @return whether there is room; if not, nothing is reserved
	 */
	public boolean tryReserve(long reserved, long needed) {
		if (needed <= SMALL_BYTES || needed <= reserved) {
			return true;
		}
		long others = this.held - reserved;
		if (others > 0 && others + needed > this.maximum) {
			return false;
		}
		this.held = others + needed;
		return true;
	}

	/**
	 * Releases what was reserved for a body.
	 * @param reserved the bytes
	 */
	public void release(long reserved) {
		this.held -= reserved;
	}

	/**
	 * Returns the sum of the bodies that are counted.
	 * @return the sum in bytes
	 */
	public long held() {
		return this.held;
	}

}
