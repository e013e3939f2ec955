package org.sardineport.core.capacity;

/**
 * Integral of the number of concurrent requests over time, from which the mean load
 * during a run follows. Times are in milliseconds of one clock. Not thread-safe.
 */
public final class LoadIntegral {

	private double sum;

	private int load;

	private long changedAt;

	private LoadIntegral(long now) {
		this.changedAt = now;
	}

	/**
	 * Returns an integral that starts at no load.
	 * @param now the current time
	 * @return the integral
	 */
	public static LoadIntegral startingAt(long now) {
		return new LoadIntegral(now);
	}

	/**
	 * Records the load from now on.
	 * @param newLoad number of concurrent requests
	 * @param now the current time
	 * @return the integral up to now
	 */
	public double change(int newLoad, long now) {
		this.sum += this.load * (double) Math.max(0, now - this.changedAt);
		this.changedAt = Math.max(this.changedAt, now);
		this.load = newLoad;
		return this.sum;
	}

}
