package org.sardineport.standins.log;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/**
 * Schedules commands, so that tests can use virtual time.
 */
@FunctionalInterface
public interface DelayedRunner {

	/**
	 * Runs a command after a delay.
	 * @param delay the delay, not negative
	 * @param command the command
	 */
	void run(Duration delay, Runnable command);

	/**
	 * Returns a runner that uses the system clock and the common pool.
	 * @return the runner
	 */
	static DelayedRunner system() {
		return (delay, command) -> CompletableFuture.delayedExecutor(delay.toNanos(), TimeUnit.NANOSECONDS)
			.execute(command);
	}

}
