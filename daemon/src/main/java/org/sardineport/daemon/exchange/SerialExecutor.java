package org.sardineport.daemon.exchange;

import java.time.Duration;
import java.util.concurrent.Executor;

/**
 * Runs tasks one after the other, in the order in which they were handed over.
 */
public interface SerialExecutor extends Executor {

	/**
	 * Runs a task later, unless it is cancelled before.
	 * @param delay time to wait
	 * @param task the task
	 * @return cancels the task when it is run
	 */
	Runnable schedule(Duration delay, Runnable task);

}
