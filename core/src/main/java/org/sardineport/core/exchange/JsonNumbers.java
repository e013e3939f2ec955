package org.sardineport.core.exchange;

/**
 * Reads numbers of named fields from JSON text without parsing the whole text.
 */
final class JsonNumbers {

	private static final int MAX_VALUE = 10_000_000;

	private JsonNumbers() {
	}

	/**
	 * Returns the first positive number of a field. Field names inside strings are
	 * ignored, as their quotes are escaped.
	 * @param json the text
	 * @param length number of bytes of the array in use
	 * @param quotedField the field's name including its quotes
	 * @return the number, capped at ten million, or 0 if there is none
	 */
	static int firstPositive(byte[] json, int length, byte[] quotedField) {
		int index = ByteSearch.indexOf(json, length, quotedField, 0);
		while (index >= 0) {
			boolean escaped = index > 0 && json[index - 1] == '\\';
			int value = (escaped) ? 0 : numberAfterColon(json, length, index + quotedField.length);
			if (value > 0) {
				return value;
			}
			index = ByteSearch.indexOf(json, length, quotedField, index + 1);
		}
		return 0;
	}

	private static int numberAfterColon(byte[] json, int length, int from) {
		int index = skipSpace(json, length, from);
		if (index >= length || json[index] != ':') {
			return 0;
		}
		index = skipSpace(json, length, index + 1);
		int value = 0;
		while (index < length && json[index] >= '0' && json[index] <= '9' && value < MAX_VALUE) {
			value = value * 10 + (json[index] - '0');
			index++;
		}
		return Math.min(value, MAX_VALUE);
	}

	private static int skipSpace(byte[] json, int length, int from) {
		int index = from;
		while (index < length
				&& (json[index] == ' ' || json[index] == '\n' || json[index] == '\t' || json[index] == '\r')) {
			index++;
		}
		return index;
	}

}
