package org.sardineport.daemon.relay;

/**
 * Static method to check the names of header fields, which the HTTP library reads more
 * leniently: it cuts a name off at a blank, so that a line means something else here than
 * to its sender.
 */
final class FieldName {

	/** Characters of a name besides letters and digits (RFC 9110, section 5.6.2). */
	private static final String OTHER_CHARACTERS = "!#$%&'*+-.^_`|~";

	private static final int ASCII = 128;

	private static final boolean[] ALLOWED = allowed();

	private FieldName() {
	}

	private static boolean[] allowed() {
		boolean[] allowed = new boolean[ASCII];
		for (char each = 0; each < ASCII; each++) {
			boolean letterOrDigit = (each >= 'a' && each <= 'z') || (each >= 'A' && each <= 'Z')
					|| (each >= '0' && each <= '9');
			allowed[each] = letterOrDigit || OTHER_CHARACTERS.indexOf(each) >= 0;
		}
		return allowed;
	}

	/**
	 * Checks that a line begins with a name and a colon.
	 * @param line contains the line
	 * @param start index of the first character of the name
	 * @param length length of the name as the library read it
	 * @throws IllegalArgumentException if the name is empty, contains another character
	 * than a name may, or is not followed by the colon
	 */
	static void check(byte[] line, int start, int length) {
		int end = start + length;
		boolean valid = length > 0 && end < line.length && line[end] == ':';
		for (int i = start; i < end; i++) {
			valid &= line[i] >= 0 && ALLOWED[line[i]];
		}
		if (!valid) {
			throw new IllegalArgumentException("a header line does not begin with a name and a colon");
		}
	}

}
