package org.sardineport.daemon.journal;

import java.time.Duration;
import java.util.Queue;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentLinkedQueue;

import org.sardineport.core.lifecycle.Service;
import org.sardineport.daemon.eventloop.EventLoop;

/**
 * The journal's thread. New requests are refused when its ring is full; what concerns
 * requests already taken waits beside the ring, where there are never more than requests
 * in flight. Safe for use by any thread.
 */
final class JournalThread implements Service {

	private static final int RING_SIZE = 8192;

	private static final Duration TICK = Duration.ofMillis(1);

	private final Queue<Runnable> overflow = new ConcurrentLinkedQueue<>();

	private final EventLoop duty;

	private final Runnable tick;

	private JournalThread(Runnable tick) {
		this.tick = tick;
		this.duty = EventLoop.create("journal", RING_SIZE, TICK, this::runTick);
	}

	static JournalThread create(Runnable tick) {
		return new JournalThread(tick);
	}

	// Returns whether the command will run.
	boolean offer(Runnable command) {
		return this.duty.offer(command);
	}

	// Runs the command, later if the ring is full.
	void run(Runnable command) {
		if (!this.duty.offer(command)) {
			this.overflow.add(command);
		}
	}

	@Override
	public CompletionStage<Void> start() {
		return this.duty.start();
	}

	@Override
	public CompletionStage<Void> stop() {
		return this.duty.stop();
	}

	private void runTick() {
		Runnable command = this.overflow.poll();
		while (command != null) {
			command.run();
			command = this.overflow.poll();
		}
		this.tick.run();
	}

}
