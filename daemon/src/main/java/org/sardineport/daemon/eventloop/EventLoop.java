package org.sardineport.daemon.eventloop;

import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Supplier;

import com.lmax.disruptor.EventPoller;
import com.lmax.disruptor.RingBuffer;
import com.lmax.disruptor.Sequence;
import org.jspecify.annotations.Nullable;
import org.sardineport.core.lifecycle.Service;
import org.sardineport.daemon.telemetry.EventLog;

/**
 * Event loop with a thread of its own: runs commands from a bounded ring buffer in order,
 * and a periodic task between them, at fixed intervals or only while it has work. State
 * that only these commands and the task access needs no lock.
 */
public final class EventLoop implements Service {

	private static final EventLog LOG = EventLog.of(EventLoop.class);

	private final String name;

	private final Duration tickInterval;

	private final Runnable tick;

	private final Supplier<Duration> untilDue;

	private final RingBuffer<Slot> ring;

	private final EventPoller<Slot> poller;

	private final AtomicBoolean running = new AtomicBoolean();

	private final AtomicBoolean idle = new AtomicBoolean();

	private final CompletableFuture<Void> stopped = new CompletableFuture<>();

	private @Nullable Thread thread;

	private EventLoop(String name, int ringSize, Duration tickInterval, Runnable tick, Supplier<Duration> untilDue) {
		this.name = Objects.requireNonNull(name, "name must not be null");
		this.tickInterval = Objects.requireNonNull(tickInterval, "tickInterval must not be null");
		this.tick = Objects.requireNonNull(tick, "tick must not be null");
		this.untilDue = Objects.requireNonNull(untilDue, "untilDue must not be null");
		this.ring = RingBuffer.createMultiProducer(Slot::new, ringSize);
		this.poller = this.ring.newPoller();
		this.ring.addGatingSequences(this.poller.getSequence());
	}

	/**
	 * Returns an event loop that is not started yet. Runtime exceptions of commands and
	 * of the periodic task are logged and do not stop the thread.
	 * @param name name of its thread
	 * @param ringSize maximum number of pending commands, a power of two
	 * @param tickInterval time between two runs of the periodic task
	 * @param tick the periodic task
	 * @return the event loop
	 */
	public static EventLoop create(String name, int ringSize, Duration tickInterval, Runnable tick) {
		return new EventLoop(name, ringSize, tickInterval, tick, () -> Duration.ZERO);
	}

	/**
	 * Returns an event loop that is not started yet and whose periodic task only runs
	 * when it has work, so that the thread sleeps while there is none. What creates work
	 * for the task from another thread must offer a command.
	 * @param name name of its thread
	 * @param ringSize maximum number of pending commands, a power of two
	 * @param minInterval minimum time between two runs of the periodic task
	 * @param tick the periodic task
	 * @param untilDue returns the time until the periodic task has work; called on the
	 * thread after commands and after the task, must not throw
	 * @return the event loop
	 */
	public static EventLoop onDemand(String name, int ringSize, Duration minInterval, Runnable tick,
			Supplier<Duration> untilDue) {
		return new EventLoop(name, ringSize, minInterval, tick, untilDue);
	}

	/**
	 * Enqueues a command for the thread. Never blocks; safe for use by any thread.
	 * @param command the command
	 * @return {@code false} if the ring is full and the command will not run
	 */
	public boolean offer(Runnable command) {
		Objects.requireNonNull(command, "command must not be null");
		boolean accepted = this.ring.tryPublishEvent((slot, sequence, value) -> slot.command = value, command);
		Thread consumer = this.thread;
		if (this.idle.get() && consumer != null) {
			LockSupport.unpark(consumer);
		}
		return accepted;
	}

	/**
	 * Returns the number of pending commands.
	 * @return the number, at most the size of the ring
	 */
	public int pendingCommands() {
		Sequence consumed = this.poller.getSequence();
		return (int) Math.max(0, this.ring.getCursor() - consumed.get());
	}

	@Override
	public CompletionStage<Void> start() {
		if (!this.running.compareAndSet(false, true)) {
			return CompletableFuture.completedFuture(null);
		}
		Thread created = new Thread(this::run, this.name);
		created.setDaemon(true);
		this.thread = created;
		created.start();
		return CompletableFuture.completedFuture(null);
	}

	/**
	 * Stops the thread after it has run the commands that are pending now.
	 * @return completes when the thread has ended
	 */
	@Override
	public CompletionStage<Void> stop() {
		if (this.thread == null) {
			this.stopped.complete(null);
		}
		this.running.set(false);
		LockSupport.unpark(this.thread);
		return this.stopped;
	}

	private void run() {
		TickSchedule schedule = new TickSchedule(this.tickInterval, System.nanoTime());
		boolean worked = true;
		while (this.running.get()) {
			worked |= drain();
			long now = System.nanoTime();
			if (worked) {
				schedule.due(this.untilDue.get(), now);
			}
			if (schedule.nanosUntilRun(now) <= 0) {
				runGuarded(this.tick);
				schedule.ran(now);
				worked = true;
			}
			else if (worked) {
				worked = false;
			}
			else {
				park(schedule.nanosUntilRun(now));
			}
		}
		drain();
		this.stopped.complete(null);
	}

	// Prevents lost wake-ups: a producer publishes before it reads the idle flag, and
	// this thread sets the flag before it checks the ring, so at least one of them sees
	// the other's write.
	private void park(long nanosToTick) {
		this.idle.set(true);
		if (pendingCommands() == 0) {
			LockSupport.parkNanos(nanosToTick);
		}
		this.idle.set(false);
	}

	private boolean drain() {
		try {
			return this.poller.poll(this::runSlot) == EventPoller.PollState.PROCESSING;
		}
		catch (Exception ex) {
			throw new IllegalStateException("poll of ring " + this.name + " failed", ex);
		}
	}

	private boolean runSlot(Slot slot, long sequence, boolean endOfBatch) {
		Runnable command = slot.command;
		slot.command = null;
		if (command != null) {
			runGuarded(command);
		}
		return true;
	}

	private void runGuarded(Runnable command) {
		try {
			command.run();
		}
		catch (RuntimeException ex) {
			LOG.error("duty.command-failed", ex, "duty", this.name);
		}
	}

	/**
	 * Slot of the ring buffer; its command is {@code null} while the slot is free.
	 */
	private static final class Slot {

		private @Nullable Runnable command;

	}

}
