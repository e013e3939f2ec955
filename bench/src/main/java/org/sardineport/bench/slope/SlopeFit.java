package org.sardineport.bench.slope;

import java.util.List;
import java.util.Map;

import org.apache.commons.math3.stat.descriptive.DescriptiveStatistics;
import org.apache.commons.math3.stat.regression.SimpleRegression;

/**
 * Straight line through measured costs, from several runs.
 *
 * @param slope median over the runs of the cost of one more
 * @param lowest lowest slope of a run
 * @param highest highest slope of a run
 * @param intercept median over the runs of the cost at size zero
 */
record SlopeFit(double slope, double lowest, double highest, double intercept) {

	/**
	 * Fits a line to each run by least squares.
	 * @param runs for each run, the cost by size; at least one run of two sizes
	 * @return the fit
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
	 * Returns the cost that the line gives.
	 * @param size the size
	 * @return the cost, never less than zero
	 */
	double at(double size) {
		return Math.max(0, this.intercept + this.slope * size);
	}

}
