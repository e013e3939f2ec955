package org.sardineport.bench.policy;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Set;

import org.sardineport.core.backend.BackendServer;
import org.sardineport.core.backend.LoadReport;

/**
 * Simulated plain service with limited concurrency and a FIFO queue. Not thread-safe.
 */
final class FakePlainService implements FakeServer {

	private final BackendServer server;

	private final VirtualTimeline time;

	private final Deque<Job> queue = new ArrayDeque<>();

	private final Set<Job> running = new HashSet<>();

	private double slowdown = 1;

	FakePlainService(BackendServer server, VirtualTimeline time) {
		this.server = server;
		this.time = time;
	}

	@Override
	public BackendServer server() {
		return this.server;
	}

	@Override
	public void admit(Job job) {
		this.queue.add(job);
		startQueued();
	}

	@Override
	public void cancel(Job job) {
		this.queue.remove(job);
		if (this.running.remove(job)) {
			startQueued();
		}
	}

	@Override
	public void slowDown(double newFactor) {
		this.slowdown = newFactor;
	}

	@Override
	public LoadReport load() {
		return new LoadReport(this.server.id(), this.running.size(), this.queue.size(), 0, false, false,
				this.time.instant());
	}

	private void startQueued() {
		while (this.running.size() < this.server.nominalConcurrency() && !this.queue.isEmpty()) {
			Job job = this.queue.remove();
			this.running.add(job);
			this.time.schedule(job.callMillis() * this.slowdown, () -> finish(job));
		}
	}

	private void finish(Job job) {
		if (this.running.remove(job)) {
			job.completed();
			startQueued();
		}
	}

}
