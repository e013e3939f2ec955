package org.sardineport.daemon.relay;

import java.time.Duration;
import java.util.Objects;
import java.util.function.BooleanSupplier;

import io.vertx.core.Vertx;

/**
 * Periodic timer that runs only while there is something to do, so that an idle event
 * loop is not woken. Confined to the event loop, except for {@link #cancel()}.
 */
final class DemandTimer {

	private static final long NOT_RUNNING = -1;

	private final Vertx vertx;

	private final Duration interval;

	private final BooleanSupplier task;

	private volatile long timer = NOT_RUNNING;

	/**
	 * Creates a timer that does not run.
	 * @param vertx runs the task
	 * @param interval time between two runs
	 * @param task returns whether to run again
	 */
	DemandTimer(Vertx vertx, Duration interval, BooleanSupplier task) {
		this.vertx = Objects.requireNonNull(vertx, "vertx must not be null");
		this.interval = Objects.requireNonNull(interval, "interval must not be null");
		this.task = Objects.requireNonNull(task, "task must not be null");
	}

	/**
	 * Starts the timer unless it runs.
	 * @return whether it did not run
	 */
	boolean start() {
		if (this.timer != NOT_RUNNING) {
			return false;
		}
		this.timer = this.vertx.setPeriodic(this.interval.toMillis(), (id) -> run());
		return true;
	}

	private void run() {
		if (!this.task.getAsBoolean()) {
			cancel();
		}
	}

	/**
	 * Cancels the timer if it runs. Safe for use by any thread.
	 */
	void cancel() {
		this.vertx.cancelTimer(this.timer);
		this.timer = NOT_RUNNING;
	}

}
