package org.sardineport.daemon.exchange;

import java.time.Duration;
import java.util.concurrent.Executor;

/**
 * Executes tasks one at a time, in the order of submission.
 */
public interface SerialExecutor extends Executor {

	/**
	 * Schedules a task to run once after a delay.
	 * @param delay the delay
	 * @param task the task
	 * @return an action that cancels the task
	 */
	Runnable schedule(Duration delay, Runnable task);

}
