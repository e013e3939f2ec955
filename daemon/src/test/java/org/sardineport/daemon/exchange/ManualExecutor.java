package org.sardineport.daemon.exchange;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/**
 * Runs tasks at once, and scheduled ones when told that their time has come.
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

	/** Lets the time of all scheduled tasks come. */
	void elapse() {
		List<Runnable> due = List.copyOf(this.scheduled);
		this.scheduled.clear();
		due.forEach(Runnable::run);
	}

}
