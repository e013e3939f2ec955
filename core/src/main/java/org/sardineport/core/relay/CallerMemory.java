package org.sardineport.core.relay;

/**
 * Account of the memory that a daemon holds for callers' requests and responses, at all
 * its listeners. Large requests wait or are refused while it is full; a quarter in
 * addition is reserved for ordinary ones. Not thread-safe.
 */
public final class CallerMemory {

	/** Size up to which a request is an ordinary one, in bytes. */
	public static final int ORDINARY_BYTES = 16 * 1024;

	/** Part of the maximum that is reserved in addition for ordinary requests. */
	private static final double RESERVE_SHARE = 0.25;

	/** Part of the maximum from which on memory counts as short. */
	private static final double SHORT_SHARE = 0.9;

	/** Number of responses of the largest size that fit into the maximum. */
	private static final int LARGEST_RESPONSES = 64;

	/**
	 * Size beyond which a response is passed on before it is complete, in bytes, however
	 * much memory there is.
	 */
	private static final long MAX_RESPONSE_BYTES = 512 * 1024;

	private final long maximum;

	private final long ordinaryMaximum;

	private long held;

	private long heldByLarge;

	private CallerMemory(long maximum) {
		this.maximum = maximum;
		this.ordinaryMaximum = maximum + (long) (RESERVE_SHARE * maximum);
	}

	/**
	 * Returns an account under which nothing is held.
	 * @param maximum maximum for requests that are not ordinary ones, in bytes
	 * @return the account
	 * @throws IllegalArgumentException if the maximum is not positive
	 */
	public static CallerMemory ofMaximum(long maximum) {
		if (maximum <= 0) {
			throw new IllegalArgumentException("maximum must be positive, found " + maximum);
		}
		return new CallerMemory(maximum);
	}

	/**
	 * Reserves memory for a head or a body, or for its growth. A large one is admitted
	 * whatever its size if no other large one is held, so that a request inside the
	 * limits is served when there is no other load.
	 * @param reserved bytes reserved for it so far
	 * @param needed bytes that it needs in all
	 * @return whether there is room; if not, nothing is reserved
	 */
	public boolean tryReserve(long reserved, long needed) {
		if (needed <= reserved) {
			return true;
		}
		long others = this.held - reserved;
		boolean isLarge = needed > ORDINARY_BYTES;
		boolean isOnlyLarge = isLarge && this.heldByLarge - large(reserved) == 0;
		if (!isOnlyLarge && others + needed > (isLarge ? this.maximum : this.ordinaryMaximum)) {
			return false;
		}
		this.held = others + needed;
		this.heldByLarge += large(needed) - large(reserved);
		return true;
	}

	private static long large(long bytes) {
		return (bytes > ORDINARY_BYTES) ? bytes : 0;
	}

	/**
	 * Reserves memory for a response that is held until it is complete, or for its
	 * growth. One that gets no room is passed on as it comes.
	 * @param reserved bytes reserved for it so far
	 * @param needed bytes that it needs in all
	 * @return whether there is room; if not, nothing is reserved
	 */
	public boolean tryReserveResponse(long reserved, long needed) {
		if (needed > Math.min(MAX_RESPONSE_BYTES, this.maximum / LARGEST_RESPONSES)
				|| this.held - reserved + needed > this.maximum) {
			return false;
		}
		return tryReserve(reserved, needed);
	}

	/**
	 * Records memory that is held whether or not there is room: a response that waits for
	 * its caller to read it.
	 * @param bytes the bytes, to be released later
	 */
	public void hold(long bytes) {
		this.held += bytes;
		this.heldByLarge += large(bytes);
	}

	/**
	 * Releases what was reserved for a head or a body.
	 * @param reserved the bytes
	 */
	public void release(long reserved) {
		this.held -= reserved;
		this.heldByLarge -= large(reserved);
	}

	/**
	 * Returns whether large requests wait, or soon will.
	 * @return whether nine tenths of the maximum are held
	 */
	public boolean isShort() {
		return this.held >= SHORT_SHARE * this.maximum;
	}

	/**
	 * Returns the sum that is held.
	 * @return the sum in bytes
	 */
	public long held() {
		return this.held;
	}

}
