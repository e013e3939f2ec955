package org.sardineport.bench.slope;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;

/**
 * Measures the processor time of the calling thread.
 */
final class ProcessorMeter {

	private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();

	private ProcessorMeter() {
	}

	/**
	 * Returns the processor time that the work takes, after it ran as often to warm up.
	 * @param work the work
	 * @return nanoseconds
	 */
	static double processorNanos(Runnable work) {
		work.run();
		long before = THREADS.getCurrentThreadCpuTime();
		work.run();
		return THREADS.getCurrentThreadCpuTime() - before;
	}

}
