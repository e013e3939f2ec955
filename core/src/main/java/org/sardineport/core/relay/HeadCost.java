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

	/** Cost of the heads that are not counted: it is covered by that of a connection. */
	private static final int UNCOUNTED_BYTES = 8 * 1024;

	private HeadCost() {
	}

	/**
	 * Returns the memory of a head, complete or not.
	 * @param bytes bytes received
	 * @param fields number of fields read
	 * @return the memory to reserve, in bytes; 0 for the head of an ordinary request
	 */
	public static long of(long bytes, int fields) {
		long cost = bytes + (long) fields * FIELD_BYTES;
		return (cost > UNCOUNTED_BYTES) ? cost : 0;
	}

}
