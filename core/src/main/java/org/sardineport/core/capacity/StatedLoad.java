package org.sardineport.core.capacity;

/**
 * Load that a backend server states of itself in a response.
 *
 * @param running number of requests that it runs
 * @param waiting number of requests that wait there
 * @param slots number of requests that it can run at once
 * @param workPercent how long work takes there at the moment; 100 is the usual value
 */
public record StatedLoad(int running, int waiting, int slots, int workPercent) {

	/** Usual value of the work. */
	public static final int USUAL_WORK_PERCENT = 100;

	/**
	 * Creates the load.
	 * @throws IllegalArgumentException if a number is negative, or there is no slot or no
	 * work
	 */
	public StatedLoad {
		if (running < 0 || waiting < 0 || slots < 1 || workPercent < 1) {
			throw new IllegalArgumentException(
					"invalid load %d,%d,%d,%d".formatted(running, waiting, slots, workPercent));
		}
	}

	/**
	 * Returns how long work takes there, as a factor.
	 * @return the factor; 1 is usual
	 */
	public double workFactor() {
		return (double) this.workPercent / USUAL_WORK_PERCENT;
	}

}
