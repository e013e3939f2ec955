package org.sardineport.bench.slope;

import java.util.List;
import java.util.Map;

/**
 * Result of the measurement of one cost.
 *
 * @param probe the probe that measured it
 * @param runs for each run, the cost by size
 * @param fit linear fit of the runs
 */
record SlopeResult(SlopeProbe probe, List<Map<Integer, Double>> runs, SlopeFit fit) {

	static SlopeResult of(SlopeProbe probe, List<Map<Integer, Double>> runs) {
		return new SlopeResult(probe, List.copyOf(runs), SlopeFit.of(runs));
	}

}
