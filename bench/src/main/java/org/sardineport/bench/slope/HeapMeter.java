package org.sardineport.bench.slope;

import java.lang.management.ManagementFactory;
import java.lang.management.MemoryMXBean;
import java.util.function.Supplier;

/**
 * Measures the heap that a structure keeps in use.
 */
final class HeapMeter {

	/** Collections before each reading, so that little garbage is left. */
	private static final int COLLECTIONS_PER_READING = 4;

	private static final MemoryMXBean MEMORY = ManagementFactory.getMemoryMXBean();

	private HeapMeter() {
	}

	/**
	 * Returns the bytes that stay in use while the structure is held.
	 * @param structure makes the structure
	 * @return bytes of heap
	 */
	static double retainedBytes(Supplier<Object> structure) {
		long before = usedBytes();
		Object retained = structure.get();
		long after = usedBytes();
		java.lang.ref.Reference.reachabilityFence(retained);
		return after - before;
	}

	private static long usedBytes() {
		for (int i = 0; i < COLLECTIONS_PER_READING; i++) {
			MEMORY.gc();
		}
		return MEMORY.getHeapMemoryUsage().getUsed();
	}

}
