package org.sardineport.daemon.fleet;

import java.util.List;

/**
 * Comparison of lists of immutable values by identity, which is far cheaper than by value
 * and finds all equal lists that were put together from the same values.
 */
final class SameElements {

	private SameElements() {
	}

	/**
	 * Returns whether two lists hold the same objects in the same order.
	 * @param one a list with random access
	 * @param other a list with random access
	 * @return {@code false} also if they hold equal but different objects
	 */
	static boolean in(List<?> one, List<?> other) {
		if (one.size() != other.size()) {
			return false;
		}
		for (int i = 0; i < one.size(); i++) {
			if (one.get(i) != other.get(i)) {
				return false;
			}
		}
		return true;
	}

}
