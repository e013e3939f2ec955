package org.sardineport.core.identity;

import java.util.Objects;

/**
 * Validates length and characters of names. Names appear in log lines, headers and paths,
 * so the allowed characters are restricted.
 */
final class NameValidator {

	/** Maximum length of a name in characters. */
	private static final int MAX_LENGTH = 128;

	private NameValidator() {
	}

	static void validate(String value, String kind) {
		Objects.requireNonNull(value, () -> kind + " must not be null");
		if (value.isEmpty() || value.length() > MAX_LENGTH) {
			throw new IllegalArgumentException(
					"%s must have 1 to %d characters, found %d".formatted(kind, MAX_LENGTH, value.length()));
		}
		for (int i = 0; i < value.length(); i++) {
			if (!isAllowed(value.charAt(i))) {
				throw new IllegalArgumentException(
						"%s may hold letters, digits, dots, dashes, colons and underscores, found character %d at %d"
							.formatted(kind, (int) value.charAt(i), i));
			}
		}
	}

	private static boolean isAllowed(char character) {
		return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z')
				|| (character >= '0' && character <= '9') || character == '.' || character == '-' || character == ':'
				|| character == '_';
	}

}
