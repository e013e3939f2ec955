package org.sardineport.settings.yaml;

/**
 * Bounds on a document, so that a hostile or mistaken one costs little.
 *
 * @param maximumCharacters most characters
 * @param maximumNodes most values, keys, lists and sections together
 * @param maximumDepth deepest nesting
 */
public record DocumentLimits(int maximumCharacters, int maximumNodes, int maximumDepth) {

	/**
	 * Creates the limits.
	 * @throws IllegalArgumentException if a limit is not positive
	 */
	public DocumentLimits {
		if (maximumCharacters < 1 || maximumNodes < 1 || maximumDepth < 1) {
			throw new IllegalArgumentException("limits must be positive");
		}
	}

}
