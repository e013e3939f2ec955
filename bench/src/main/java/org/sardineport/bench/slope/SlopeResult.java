package org.sardineport.bench.slope;

import java.util.List;
import java.util.Map;

/**
 * What was measured for one cost.
 *
 * @param probe what was measured
 * @param runs for each run, the cost by size
 * @param fit the line through them
 */
record SlopeResult(SlopeProbe probe, List<Map<Integer, Double>> runs, SlopeFit fit) {

	static SlopeResult of(SlopeProbe probe, List<Map<Integer, Double>> runs) {
		return new SlopeResult(probe, List.copyOf(runs), SlopeFit.of(runs));
	}

}
