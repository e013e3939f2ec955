package org.sardineport.bench.slope;

import java.util.List;
import java.util.Objects;

/**
 * Measures one cost at growing sizes.
 *
 * @param name name of the cost, words joined by dashes, unique among the probes
 * @param role the role that bears the cost
 * @param sizeUnit what grows, in the plural
 * @param costUnit what is measured
 * @param sizes the sizes to measure at, at least two, growing
 * @param cost measures the cost of a whole size
 */
record SlopeProbe(String name, Role role, String sizeUnit, CostUnit costUnit, List<Integer> sizes, Cost cost) {

	/**
	 * Creates the probe.
	 * @throws IllegalArgumentException if there are fewer than two sizes
	 */
	SlopeProbe {
		Objects.requireNonNull(name, "name must not be null");
		Objects.requireNonNull(cost, "cost must not be null");
		sizes = List.copyOf(sizes);
		if (sizes.size() < 2) {
			throw new IllegalArgumentException("a slope needs two sizes, found " + sizes.size());
		}
	}

	/**
	 * Measures the cost at one size.
	 */
	@FunctionalInterface
	interface Cost {

		/**
		 * Measures.
		 * @param size the size
		 * @param seed seed of whatever is random
		 * @return the cost of the whole size
		 */
		double measure(int size, long seed);

	}

}
