package org.sardineport.core.scheduling;

/**
 * Spreads the starts of runs as a backend server completes them, for use where permits do
 * not tell how many run at present. It follows a server on which every run takes the mean
 * time. Times are in milliseconds. Not thread-safe.
 */
final class StartPacing {

	/** Part of the places whose runs may start at once. */
	private static final double BURST = 0.5;

	private double idleAt;

	/**
	 * Records that a run may start.
	 * @param runMillis mean duration of a run
	 * @param places number of runs at a time
	 * @param now the current time
	 */
	void started(double runMillis, int places, long now) {
		this.idleAt = Math.max(this.idleAt, now) + runMillis / places;
	}

	/**
	 * Returns whether one more run may start.
	 * @param runMillis mean duration of a run
	 * @param now the current time
	 * @return whether at least half of the places are free, if every run takes the mean
	 * time
	 */
	boolean hasRoom(double runMillis, long now) {
		return this.idleAt - now < runMillis * BURST;
	}

}
