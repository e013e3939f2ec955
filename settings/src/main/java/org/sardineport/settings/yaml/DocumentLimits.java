package org.sardineport.settings.yaml;

/**
 * Limits on a document, so that a malicious or malformed one can't exhaust memory or CPU
 * time.
 *
 * @param maximumCharacters maximum number of characters
 * @param maximumNodes maximum number of values, keys, lists and sections together
 * @param maximumDepth maximum nesting depth
 */
public record DocumentLimits(int maximumCharacters, int maximumNodes, int maximumDepth) {

	/**
	 * Creates limits.
	 * @throws IllegalArgumentException if a limit is not positive
	 */
	public DocumentLimits {
		if (maximumCharacters < 1 || maximumNodes < 1 || maximumDepth < 1) {
			throw new IllegalArgumentException("limits must be at least 1");
		}
	}

}
