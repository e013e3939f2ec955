package org.sardineport.core.configuration;

import java.util.Objects;

/**
 * Difference between two texts: the beginning and the end are kept, and the part between
 * them is replaced. Surrogate pairs are never split. Lengths are in UTF-16 code units.
 *
 * @param prefix number of characters kept at the beginning
 * @param suffix number of characters kept at the end
 * @param middle replacement for the text between them
 */
public record TextPatch(int prefix, int suffix, String middle) {

	/**
	 * Creates the patch.
	 * @throws IllegalArgumentException if a length is negative
	 */
	public TextPatch {
		Objects.requireNonNull(middle, "middle must not be null");
		if (prefix < 0 || suffix < 0) {
			throw new IllegalArgumentException(
					"lengths must not be negative, found %d and %d".formatted(prefix, suffix));
		}
	}

	/**
	 * Returns the patch that turns one text into another.
	 * @param before the original text
	 * @param after the text to obtain
	 * @return the patch
	 */
	public static TextPatch between(String before, String after) {
		int shorter = Math.min(before.length(), after.length());
		int prefix = 0;
		while (prefix < shorter && before.charAt(prefix) == after.charAt(prefix)) {
			prefix++;
		}
		if (prefix > 0 && Character.isHighSurrogate(before.charAt(prefix - 1))) {
			prefix--;
		}
		int suffix = 0;
		while (suffix < shorter - prefix
				&& before.charAt(before.length() - 1 - suffix) == after.charAt(after.length() - 1 - suffix)) {
			suffix++;
		}
		if (suffix > 0 && Character.isLowSurrogate(before.charAt(before.length() - suffix))) {
			suffix--;
		}
		return new TextPatch(prefix, suffix, after.substring(prefix, after.length() - suffix));
	}

	/**
	 * Returns whether a text is long enough for this patch.
	 * @param before the original text
	 * @return whether the patch can be applied
	 */
	public boolean fits(String before) {
		return (long) this.prefix + this.suffix <= before.length();
	}

	/**
	 * Applies the patch.
	 * @param before the original text
	 * @return the patched text
	 * @throws IllegalArgumentException if the text is too short for the patch
	 */
	public String apply(String before) {
		if (!fits(before)) {
			throw new IllegalArgumentException("patch must fit a text of %d characters".formatted(before.length()));
		}
		return before.substring(0, this.prefix) + this.middle + before.substring(before.length() - this.suffix);
	}

}
