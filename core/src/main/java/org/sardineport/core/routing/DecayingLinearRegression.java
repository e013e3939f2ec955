package org.sardineport.core.routing;

/**
 * Linear regression with exponentially decaying sample weights, whose slope and intercept
 * are never negative. Not thread-safe.
 */
final class DecayingLinearRegression {

	/** Factor applied to the weight of all earlier samples when a sample is added. */
	private static final double DECAY_FACTOR = 0.95;

	private final double minVariance;

	private double weight;

	private double sumX;

	private double sumY;

	private double sumXx;

	private double sumXy;

	/**
	 * Creates a regression without samples.
	 * @param minVariance variance of x at or below which no slope is fitted
	 */
	DecayingLinearRegression(double minVariance) {
		this.minVariance = minVariance;
	}

	void add(double x, double y) {
		this.weight = this.weight * DECAY_FACTOR + 1;
		this.sumX = this.sumX * DECAY_FACTOR + x;
		this.sumY = this.sumY * DECAY_FACTOR + y;
		this.sumXx = this.sumXx * DECAY_FACTOR + x * x;
		this.sumXy = this.sumXy * DECAY_FACTOR + x * y;
	}

	void reset() {
		this.weight = 0;
		this.sumX = 0;
		this.sumY = 0;
		this.sumXx = 0;
		this.sumXy = 0;
	}

	boolean isEmpty() {
		return this.weight == 0;
	}

	/**
	 * Returns the slope. The regression must not be empty.
	 * @param defaultSlope slope to use if the variance of x is too small for a fit
	 * @return the slope, from 0 to that of the line through the origin and the mean
	 */
	double slope(double defaultSlope) {
		double meanX = this.sumX / this.weight;
		double meanY = this.sumY / this.weight;
		double variance = this.sumXx / this.weight - meanX * meanX;
		double slope = (variance > this.minVariance) ? (this.sumXy / this.weight - meanX * meanY) / variance
				: defaultSlope;
		return Math.max(0, Math.min(slope, meanY / Math.max(meanX, 1)));
	}

	/**
	 * Returns the value of the line at x = 0 for a given slope.
	 * @param slope the slope
	 * @return the intercept, at least 0
	 */
	double intercept(double slope) {
		return Math.max(0, (this.sumY - slope * this.sumX) / this.weight);
	}

}
