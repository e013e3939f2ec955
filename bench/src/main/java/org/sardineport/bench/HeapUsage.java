package org.sardineport.bench;

/**
 * Static method to read the heap memory in use.
 */
public final class HeapUsage {

	private HeapUsage() {
	}

	/**
	 * Returns the heap memory in use after garbage collections. Other threads should be
	 * idle, since their allocations count too.
	 * @param collections number of collections before the reading; a greater number
	 * leaves less garbage
	 * @return used heap memory in bytes
	 */
	public static long usedBytes(int collections) {
		for (int i = 0; i < collections; i++) {
			System.gc();
		}
		return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
	}

}
