package org.sardineport.bench.slope;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;

/**
 * Measures the processor time of the calling thread.
 */
final class CpuTimeMeter {

	private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();

	private CpuTimeMeter() {
	}

	/**
	 * Returns the processor time that the work takes, after it ran as often to warm up.
	 * @param work the work
	 * @return nanoseconds
	 */
	static double cpuNanos(Runnable work) {
		work.run();
		long before = THREADS.getCurrentThreadCpuTime();
		work.run();
		return THREADS.getCurrentThreadCpuTime() - before;
	}

}
