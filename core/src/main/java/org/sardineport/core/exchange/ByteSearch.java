package org.sardineport.core.exchange;

/**
 * Searches byte arrays for byte patterns.
 */
final class ByteSearch {

	private ByteSearch() {
	}

	static int indexOf(byte[] bytes, int length, byte[] pattern, int from) {
		for (int i = Math.max(0, from); i <= length - pattern.length; i++) {
			if (matches(bytes, pattern, i)) {
				return i;
			}
		}
		return -1;
	}

	private static boolean matches(byte[] bytes, byte[] pattern, int offset) {
		for (int i = 0; i < pattern.length; i++) {
			if (bytes[offset + i] != pattern[i]) {
				return false;
			}
		}
		return true;
	}

}
