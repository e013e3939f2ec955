package org.sardineport.bench.slope;

import java.util.List;
import java.util.Objects;

/**
 * Measurement of one cost at several sizes. Immutable.
 *
 * @param name name of the cost in the CSV files, words joined by dashes, unique among the
 * probes
 * @param role role that bears the cost
 * @param sizeUnit unit of the size, in the plural
 * @param costUnit unit of the cost
 * @param sizes sizes to measure at, at least two, in ascending order
 * @param cost measures the total cost at a size
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
	 * Measurement of the total cost at one size.
	 */
	@FunctionalInterface
	interface Cost {

		/**
		 * Measures the cost.
		 * @param size the size
		 * @param seed seed of all randomness
		 * @return the total cost at this size
		 */
		double measure(int size, long seed);

	}

}
