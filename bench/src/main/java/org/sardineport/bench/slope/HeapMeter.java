package org.sardineport.bench.slope;

import java.lang.management.ManagementFactory;
import java.lang.management.MemoryMXBean;
import java.util.function.Supplier;

/**
 * Static method to measure the heap memory that a data structure retains.
 */
final class HeapMeter {

	/** Garbage collections before each reading, so that little garbage is left. */
	private static final int COLLECTIONS_PER_READING = 4;

	private static final MemoryMXBean MEMORY = ManagementFactory.getMemoryMXBean();

	private HeapMeter() {
	}

	/**
	 * Measures the memory that a data structure retains. Other threads should be idle,
	 * since their allocations count too.
	 * @param structure creates the data structure
	 * @return retained heap memory in bytes
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
