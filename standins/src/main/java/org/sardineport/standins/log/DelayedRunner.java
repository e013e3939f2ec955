package org.sardineport.standins.log;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/**
 * Runs commands later, so that tests can bring their own time.
 */
@FunctionalInterface
public interface DelayedRunner {

	/**
	 * Runs a command later.
	 * @param delay time to wait, not negative
	 * @param command the command
	 */
	void run(Duration delay, Runnable command);

	/**
	 * Returns a runner on the system's time.
	 * @return the runner
	 */
	static DelayedRunner system() {
		return (delay, command) -> CompletableFuture.delayedExecutor(delay.toNanos(), TimeUnit.NANOSECONDS)
			.execute(command);
	}

}
