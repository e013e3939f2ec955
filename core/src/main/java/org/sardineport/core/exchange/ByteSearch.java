package org.sardineport.core.exchange;

/**
 * Finds bytes in bytes.
 */
final class ByteSearch {

	private ByteSearch() {
	}

	static int indexOf(byte[] bytes, int length, byte[] wanted, int from) {
		for (int i = Math.max(0, from); i <= length - wanted.length; i++) {
			if (matches(bytes, wanted, i)) {
				return i;
			}
		}
		return -1;
	}

	private static boolean matches(byte[] bytes, byte[] wanted, int at) {
		for (int i = 0; i < wanted.length; i++) {
			if (bytes[at + i] != wanted[i]) {
				return false;
			}
		}
		return true;
	}

}
