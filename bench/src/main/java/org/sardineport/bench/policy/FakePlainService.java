package org.sardineport.bench.policy;

import java.util.HashSet;
import java.util.Set;

import org.sardineport.core.backend.BackendServer;

/**
 * Simulated plain service with limited concurrency and a FIFO queue. Not thread-safe.
 */
final class FakePlainService extends AbstractFakeServer {

	private final Set<Job> running = new HashSet<>();

	FakePlainService(BackendServer server, VirtualTimeline time) {
		super(server, time);
	}

	@Override
	int running() {
		return this.running.size();
	}

	@Override
	public void admit(Job job) {
		queue().add(job);
		startQueued();
	}

	@Override
	public void cancel(Job job) {
		queue().remove(job);
		if (this.running.remove(job)) {
			startQueued();
		}
	}

	private void startQueued() {
		while (canStartNext()) {
			Job job = queue().remove();
			this.running.add(job);
			schedule(job.callMillis(), () -> finish(job));
		}
	}

	private void finish(Job job) {
		if (this.running.remove(job)) {
			job.completed();
			startQueued();
		}
	}

}
