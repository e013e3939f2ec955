package org.sardineport.daemon.exchange;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/**
 * Runs submitted tasks immediately, and scheduled tasks on {@link #runScheduled()}.
 */
final class ManualExecutor implements SerialExecutor {

	private final List<Runnable> scheduled = new ArrayList<>();

	@Override
	public void execute(Runnable task) {
		task.run();
	}

	@Override
	public Runnable schedule(Duration delay, Runnable task) {
		this.scheduled.add(task);
		return () -> this.scheduled.remove(task);
	}

	/** Runs all scheduled tasks as if their delays had passed. */
	void runScheduled() {
		List<Runnable> due = List.copyOf(this.scheduled);
		this.scheduled.clear();
		due.forEach(Runnable::run);
	}

}
