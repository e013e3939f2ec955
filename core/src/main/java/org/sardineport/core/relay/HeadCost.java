package org.sardineport.core.relay;

/**
 * Memory that the head of a request takes while it is held.
 */
public final class HeadCost {

	/**
	 * Objects of one field, in bytes: its entry in the multimap, the name, the value, and
	 * the copy for the backend server.
	 */
	private static final int FIELD_BYTES = 250;

	/**
	 * Copies of a byte: in the buffer of what was read and in that of the line, both of
	 * which grow by doubling, and in the text.
	 */
	private static final int COPIES = 4;

	private HeadCost() {
	}

	/**
	 * Returns the memory of a head, complete or not.
	 * @param bytes bytes received, whether decoded or not
	 * @param lines number of lines received
	 * @return the memory to reserve, in bytes
	 */
	public static long of(long bytes, int lines) {
		return COPIES * bytes + (long) lines * FIELD_BYTES;
	}

}
