package org.sardineport.core.relay;

/**
 * What a daemon may hold for callers on its machine.
 *
 * @param memoryBytes maximum memory for heads and bodies that are not small
 * @param connections maximum number of callers' connections
 * @param auxiliaryConnections maximum number of connections at each other listener
 */
public record CallerCapacity(long memoryBytes, int connections, int auxiliaryConnections) {

	/** Heap of a daemon without callers, in bytes (15 MB measured after its start). */
	private static final long BASE_HEAP_BYTES = 16L * 1024 * 1024;

	/** Part of the rest of the heap for heads and bodies. */
	private static final double MEMORY_SHARE = 0.38;

	/** Part of the rest of the heap for connections. */
	private static final double CONNECTION_SHARE = 0.45;

	/** Least memory, so that a small heap serves requests at all. */
	private static final long MIN_MEMORY_BYTES = 2L * 1024 * 1024;

	/** Memory of one connection with one read, without heads and bodies. */
	private static final long CONNECTION_BYTES = 11L * 1024;

	/** Descriptors for files, peers and backend servers. */
	private static final int RESERVED_DESCRIPTORS = 256;

	/** Part of the connections for each auxiliary listener. */
	private static final int AUXILIARY_PART = 16;

	private static final int AUXILIARY_LISTENERS = 3;

	private static final int MIN_CONNECTIONS = 16;

	/**
	 * Returns what fits into a process.
	 * @param heapBytes maximum size of its heap
	 * @param descriptors maximum number of its open descriptors
	 * @return the capacity
	 */
	public static CallerCapacity of(long heapBytes, long descriptors) {
		long rest = Math.max(0, heapBytes - BASE_HEAP_BYTES);
		long connections = Math.min((long) (CONNECTION_SHARE * rest) / CONNECTION_BYTES,
				Math.max(0, descriptors - RESERVED_DESCRIPTORS));
		int auxiliary = (int) Math.max(MIN_CONNECTIONS, connections / AUXILIARY_PART);
		int callers = (int) Math.max(MIN_CONNECTIONS, connections - (long) AUXILIARY_LISTENERS * auxiliary);
		return new CallerCapacity(Math.max(MIN_MEMORY_BYTES, (long) (MEMORY_SHARE * rest)), callers, auxiliary);
	}

}
