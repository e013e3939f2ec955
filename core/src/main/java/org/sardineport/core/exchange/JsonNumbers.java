package org.sardineport.core.exchange;

/**
 * Finds numbers of named fields in JSON text without a parse of the whole.
 */
final class JsonNumbers {

	private static final int MAXIMUM = 10_000_000;

	private JsonNumbers() {
	}

	/**
	 * Returns the first positive number of a field, fields inside of strings left out.
	 * @param json the text
	 * @param length bytes of the array that are in use
	 * @param quotedField the field's name with its quotes
	 * @return the number, at most ten million, or 0 if there is none
	 */
	static int firstAfter(byte[] json, int length, byte[] quotedField) {
		int found = ByteSearch.indexOf(json, length, quotedField, 0);
		while (found >= 0) {
			boolean escaped = found > 0 && json[found - 1] == '\\';
			int value = (escaped) ? 0 : numberAfterColon(json, length, found + quotedField.length);
			if (value > 0) {
				return value;
			}
			found = ByteSearch.indexOf(json, length, quotedField, found + 1);
		}
		return 0;
	}

	private static int numberAfterColon(byte[] json, int length, int from) {
		int at = skipSpace(json, length, from);
		if (at >= length || json[at] != ':') {
			return 0;
		}
		at = skipSpace(json, length, at + 1);
		int value = 0;
		while (at < length && json[at] >= '0' && json[at] <= '9' && value < MAXIMUM) {
			value = value * 10 + (json[at] - '0');
			at++;
		}
		return Math.min(value, MAXIMUM);
	}

	private static int skipSpace(byte[] json, int length, int from) {
		int at = from;
		while (at < length && (json[at] == ' ' || json[at] == '\n' || json[at] == '\t' || json[at] == '\r')) {
			at++;
		}
		return at;
	}

}
