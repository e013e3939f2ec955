package org.sardineport.core.identity;

import java.util.Objects;

/**
 * Checks the characters of names, which appear in log lines, headers and paths.
 */
final class Names {

	/** Longest name, in characters. */
	private static final int MAXIMUM_LENGTH = 128;

	private Names() {
	}

	static void check(String value, String what) {
		Objects.requireNonNull(value, () -> what + " must not be null");
		if (value.isEmpty() || value.length() > MAXIMUM_LENGTH) {
			throw new IllegalArgumentException(
					"%s must have 1 to %d characters, found %d".formatted(what, MAXIMUM_LENGTH, value.length()));
		}
		for (int i = 0; i < value.length(); i++) {
			if (!isAllowed(value.charAt(i))) {
				throw new IllegalArgumentException(
						"%s may hold letters, digits, dots, dashes, colons and underscores, found character %d at %d"
							.formatted(what, (int) value.charAt(i), i));
			}
		}
	}

	private static boolean isAllowed(char character) {
		return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z')
				|| (character >= '0' && character <= '9') || character == '.' || character == '-' || character == ':'
				|| character == '_';
	}

}
