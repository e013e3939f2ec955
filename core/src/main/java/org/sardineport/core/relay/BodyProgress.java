package org.sardineport.core.relay;

import java.time.Duration;
import java.util.Objects;

/**
 * Progress of one body that a caller sends. Not thread-safe.
 */
public final class BodyProgress {

	private final ProgressLimit limit;

	private long windowStart;

	private long windowBytes;

	private long lastBytes;

	private long lastProgressAt;

	private BodyProgress(ProgressLimit limit, long nowMillis) {
		this.limit = Objects.requireNonNull(limit, "limit must not be null");
		this.windowStart = nowMillis;
		this.lastProgressAt = nowMillis;
	}

	/**
	 * Returns the progress of a body that begins.
	 * @param limit the minimum rate
	 * @param nowMillis the current time, in milliseconds of a monotonic clock
	 * @return the progress
	 */
	public static BodyProgress begin(ProgressLimit limit, long nowMillis) {
		return new BodyProgress(limit, nowMillis);
	}

	/**
	 * Begins anew, as the daemon itself has not read for some time.
	 * @param nowMillis the current time, in milliseconds
	 */
	public void restart(long nowMillis) {
		this.windowStart = nowMillis;
		this.windowBytes = this.lastBytes;
		this.lastProgressAt = nowMillis;
	}

	/**
	 * Records how much was received.
	 * @param nowMillis the current time, in milliseconds
	 * @param bytes bytes of the body so far
	 */
	public void received(long nowMillis, long bytes) {
		if (bytes > this.lastBytes) {
			this.lastBytes = bytes;
			this.lastProgressAt = nowMillis;
		}
		if (bytes - this.windowBytes >= this.limit.bytesPerWindow()) {
			this.windowStart = nowMillis;
			this.windowBytes = bytes;
		}
	}

	/**
	 * Returns whether the caller is slower than the minimum rate.
	 * @param nowMillis the current time, in milliseconds
	 * @return whether less than a window's bytes were received in a whole window
	 */
	public boolean isTooSlow(long nowMillis) {
		return nowMillis - this.windowStart > this.limit.window().toMillis();
	}

	/**
	 * Returns the time since the last byte.
	 * @param nowMillis the current time, in milliseconds
	 * @return the time
	 */
	public Duration stalledFor(long nowMillis) {
		return Duration.ofMillis(Math.max(0, nowMillis - this.lastProgressAt));
	}

}
