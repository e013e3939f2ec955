package org.sardineport.core.routing;

/**
 * A line with neither a negative base nor a negative slope, fitted to samples that are
 * forgotten exponentially. Not safe for use by several threads.
 */
final class DecayingLine {

	/** Weight that older samples keep for each new one. */
	private static final double MEMORY = 0.95;

	private final double leastVariance;

	private double weight;

	private double sumX;

	private double sumY;

	private double sumXx;

	private double sumXy;

	/**
	 * Creates a line without samples.
	 * @param leastVariance variance of the abscissa below which no slope is fitted
	 */
	DecayingLine(double leastVariance) {
		this.leastVariance = leastVariance;
	}

	void add(double x, double y) {
		this.weight = this.weight * MEMORY + 1;
		this.sumX = this.sumX * MEMORY + x;
		this.sumY = this.sumY * MEMORY + y;
		this.sumXx = this.sumXx * MEMORY + x * x;
		this.sumXy = this.sumXy * MEMORY + x * y;
	}

	void forget() {
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
	 * Returns the slope.
	 * @param otherwise slope if the samples are too close to each other to tell
	 * @return the slope, at most that of the line through the origin
	 */
	double slope(double otherwise) {
		double meanX = this.sumX / this.weight;
		double meanY = this.sumY / this.weight;
		double variance = this.sumXx / this.weight - meanX * meanX;
		double slope = (variance > this.leastVariance) ? (this.sumXy / this.weight - meanX * meanY) / variance
				: otherwise;
		return Math.max(0, Math.min(slope, meanY / Math.max(meanX, 1)));
	}

	/**
	 * Returns the value at zero.
	 * @param slope the slope
	 * @return the base
	 */
	double base(double slope) {
		return Math.max(0, (this.sumY - slope * this.sumX) / this.weight);
	}

}
