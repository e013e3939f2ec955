package org.sardineport.daemon.journal;

import java.time.Duration;
import java.util.Queue;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentLinkedQueue;

import org.sardineport.core.lifecycle.Service;
import org.sardineport.daemon.eventloop.EventLoop;

/**
 * Event loop of the journal. New requests are refused when its ring is full. Commands for
 * requests already accepted go to an unbounded overflow queue instead, whose size never
 * exceeds the number of requests in flight. Safe for use by any thread.
 */
final class JournalThread implements Service {

	private static final int RING_SIZE = 8192;

	private static final Duration TICK = Duration.ofMillis(1);

	private final Queue<Runnable> overflow = new ConcurrentLinkedQueue<>();

	private final EventLoop eventLoop;

	private final Runnable tick;

	private JournalThread(Runnable tick) {
		this.tick = tick;
		this.eventLoop = EventLoop.create("journal", RING_SIZE, TICK, this::runTick);
	}

	static JournalThread create(Runnable tick) {
		return new JournalThread(tick);
	}

	// Returns false if the ring is full; the command does not run then.
	boolean offer(Runnable command) {
		return this.eventLoop.offer(command);
	}

	// If the ring is full, the command runs on the next tick.
	void run(Runnable command) {
		if (!this.eventLoop.offer(command)) {
			this.overflow.add(command);
		}
	}

	@Override
	public CompletionStage<Void> start() {
		return this.eventLoop.start();
	}

	@Override
	public CompletionStage<Void> stop() {
		return this.eventLoop.stop();
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
