package org.sardineport.core.scheduling;

/**
 * Learns for which part of the time that permits of one backend server are out their
 * requests occupy a place there. The rest passes while grants and releases are on their
 * way between daemons, or wait to be read; if it counted, a backend server with short
 * runs would idle while requests wait. What the backend server states of its load tells
 * it best; otherwise the durations of runs do, as measured by the daemons that send them.
 * Times are in milliseconds. Not thread-safe.
 */
final class PlaceShare {

	/** Weight of a new run in the moving averages. */
	private static final double WEIGHT = 0.1;

	/** Smallest share, so that a change of the backend server is noticed in time. */
	private static final double MIN_SHARE = 0.1;

	private double meanOut;

	private double meanRun;

	private double meanPermits;

	private double meanStated;

	private PlaceShare() {
	}

	/**
	 * Returns an instance for which permits occupy places all the time that they are out.
	 * @return the instance
	 */
	static PlaceShare create() {
		return new PlaceShare();
	}

	/**
	 * Records a permit that is no longer out.
	 * @param outMillis time from its grant to its release
	 * @param runMillis duration of its run, as measured by the daemon that sent it; 0 if
	 * it was not used
	 */
	void observe(double outMillis, double runMillis) {
		double weight = (this.meanOut > 0) ? WEIGHT : 1;
		this.meanOut += weight * (Math.max(1, outMillis) - this.meanOut);
		this.meanRun += weight * (runMillis - this.meanRun);
	}

	/**
	 * Records the load that the backend server stated in a response. The request that it
	 * responded to counts in addition, as it may have left its place before.
	 * @param requests number of requests that ran or waited there
	 * @param permits number of permits that were out, at least 1
	 */
	void observeStated(int requests, int permits) {
		if (this.meanPermits == 0) {
			this.meanPermits = permits;
			this.meanStated = permits;
		}
		this.meanPermits += WEIGHT * (Math.max(1, permits) - this.meanPermits);
		this.meanStated += WEIGHT * (requests + 1 - this.meanStated);
	}

	/**
	 * Returns how many places a number of permits occupies on average.
	 * @param permits number of permits that are out
	 * @return the number of places, rounded up
	 */
	int occupied(int permits) {
		return (int) Math.ceil(permits * share());
	}

	/**
	 * Returns for how long a request occupies a place on average.
	 * @return milliseconds; 0 before the first run
	 */
	double placeMillis() {
		return this.meanOut * share();
	}

	private double share() {
		if (this.meanPermits > 0) {
			return bounded(this.meanStated / this.meanPermits);
		}
		return (this.meanOut > 0) ? bounded(this.meanRun / this.meanOut) : 1;
	}

	private static double bounded(double share) {
		return Math.max(MIN_SHARE, Math.min(1, share));
	}

}
