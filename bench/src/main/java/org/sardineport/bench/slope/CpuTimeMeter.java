package org.sardineport.bench.slope;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;

/**
 * Static method to measure the CPU time of the calling thread.
 */
final class CpuTimeMeter {

	private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();

	private CpuTimeMeter() {
	}

	/**
	 * Measures the CPU time of a task. Runs the task twice and measures the second run,
	 * since the first one warms up the JVM.
	 * @param work the task
	 * @return the CPU time in nanoseconds
	 */
	static double cpuNanos(Runnable work) {
		work.run();
		long before = THREADS.getCurrentThreadCpuTime();
		work.run();
		return THREADS.getCurrentThreadCpuTime() - before;
	}

}
