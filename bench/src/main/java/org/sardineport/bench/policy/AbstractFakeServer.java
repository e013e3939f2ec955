package org.sardineport.bench.policy;

import java.util.ArrayDeque;
import java.util.Deque;

import org.sardineport.core.backend.BackendServer;
import org.sardineport.core.backend.LoadReport;

/**
 * Base of the simulated backend servers: a FIFO queue in front of a number of running
 * requests. Not thread-safe.
 */
abstract class AbstractFakeServer implements FakeServer {

	private final BackendServer server;

	private final VirtualTimeline time;

	private final Deque<Job> queue = new ArrayDeque<>();

	private double slowdown = 1;

	AbstractFakeServer(BackendServer server, VirtualTimeline time) {
		this.server = server;
		this.time = time;
	}

	/**
	 * Returns the number of requests that have left the queue and have not ended.
	 * @return the number
	 */
	abstract int running();

	@Override
	public final BackendServer server() {
		return this.server;
	}

	@Override
	public final void slowDown(double factor) {
		this.slowdown = factor;
	}

	@Override
	public final LoadReport load() {
		return new LoadReport(this.server.id(), running(), this.queue.size(), 0, false, false, this.time.instant());
	}

	final Deque<Job> queue() {
		return this.queue;
	}

	final boolean canStartNext() {
		return running() < this.server.nominalConcurrency() && !this.queue.isEmpty();
	}

	final double millisNow() {
		return this.time.millisNow();
	}

	/**
	 * Schedules an action after a duration at full speed, which the slowdown stretches.
	 * @param millis duration at full speed, in milliseconds
	 * @param action the action
	 */
	final void schedule(double millis, Runnable action) {
		this.time.schedule(millis * this.slowdown, action);
	}

}
