package org.sardineport.bench.slope;

import java.util.List;
import java.util.Map;

import org.apache.commons.math3.stat.descriptive.DescriptiveStatistics;
import org.apache.commons.math3.stat.regression.SimpleRegression;

/**
 * Linear fit of measured costs over several runs. Immutable.
 *
 * @param slope median slope of the runs, the marginal cost
 * @param lowest lowest slope of a run
 * @param highest highest slope of a run
 * @param intercept median intercept of the runs, the cost at size zero
 */
record SlopeFit(double slope, double lowest, double highest, double intercept) {

	/**
	 * Fits a line to each run by least squares.
	 * @param runs for each run, the cost by size
	 * @return the fit
	 * @throws IllegalArgumentException if there is no run, or a run has fewer than two
	 * sizes
	 */
	static SlopeFit of(List<Map<Integer, Double>> runs) {
		if (runs.isEmpty()) {
			throw new IllegalArgumentException("at least one run is needed");
		}
		DescriptiveStatistics slopes = new DescriptiveStatistics();
		DescriptiveStatistics intercepts = new DescriptiveStatistics();
		for (Map<Integer, Double> run : runs) {
			if (run.size() < 2) {
				throw new IllegalArgumentException("a run needs two sizes, found " + run.size());
			}
			SimpleRegression regression = new SimpleRegression();
			run.forEach(regression::addData);
			slopes.addValue(regression.getSlope());
			intercepts.addValue(regression.getIntercept());
		}
		return new SlopeFit(slopes.getPercentile(50), slopes.getMin(), slopes.getMax(), intercepts.getPercentile(50));
	}

	/**
	 * Returns the fitted cost at a size.
	 * @param size the size
	 * @return the cost, zero where the line is negative
	 */
	double at(double size) {
		return Math.max(0, this.intercept + this.slope * size);
	}

}
