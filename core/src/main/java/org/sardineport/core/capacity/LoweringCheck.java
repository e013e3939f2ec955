package org.sardineport.core.capacity;

import java.util.List;

/**
 * Compares the runs after a limit was lowered with those before. If the server had gained
 * no throughput by the load, the times fall with the load. If it had become slow, they do
 * not. Not thread-safe.
 */
final class LoweringCheck {

	/** Number of runs after which a decision is possible. */
	private static final int MIN_RUNS = 6;

	/** Smallest difference of the logarithms of the loads that shows anything. */
	private static final double MIN_LOAD_STEP = 0.15;

	/** Assumed standard deviation of the logarithm of a time. */
	private static final double DEVIATION = 0.5;

	private final int formerLimit;

	private final int runsBefore;

	private final double loadBefore;

	private final double timeBefore;

	private int runs;

	private double loads;

	private double times;

	LoweringCheck(int formerLimit, List<RunSample> before) {
		this.formerLimit = formerLimit;
		this.runsBefore = before.size();
		this.loadBefore = before.stream().mapToDouble(RunSample::logLoad).average().orElse(0);
		this.timeBefore = before.stream().mapToDouble(RunSample::logMillis).average().orElse(0);
	}

	int formerLimit() {
		return this.formerLimit;
	}

	void add(double load, double millis) {
		this.runs++;
		this.loads += Math.log(Math.max(1, load));
		this.times += Math.log(Math.max(1e-3, millis));
	}

	/**
	 * Returns whether the load had gained throughput.
	 * @param bound gain from which on the lower limit is wrong
	 * @return whether it is wrong
	 */
	boolean isRefuted(double bound) {
		double loadStep = this.loadBefore - this.loads / this.runs;
		if (this.runs < MIN_RUNS || this.runsBefore < MIN_RUNS || !(loadStep > MIN_LOAD_STEP)) {
			return false;
		}
		double timeStep = this.timeBefore - this.times / this.runs;
		double error = DEVIATION * Math.sqrt(1.0 / this.runs + 1.0 / this.runsBefore) / loadStep;
		return 1 - timeStep / loadStep - error > bound;
	}

}
