package org.sardineport.daemon.duty;

import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.locks.LockSupport;

import com.lmax.disruptor.EventPoller;
import com.lmax.disruptor.RingBuffer;
import com.lmax.disruptor.Sequence;
import org.jspecify.annotations.Nullable;
import org.sardineport.core.lifecycle.Service;
import org.sardineport.daemon.telemetry.EventLog;

/**
 * A thread that runs commands one after the other from a bounded ring, and a periodic
 * task between them. State that only the duty touches needs no lock.
 */
public final class Duty implements Service {

	private static final EventLog LOG = EventLog.of(Duty.class);

	private final String name;

	private final long tickNanos;

	private final Runnable tick;

	private final RingBuffer<Slot> ring;

	private final EventPoller<Slot> poller;

	private final AtomicBoolean running = new AtomicBoolean();

	private final AtomicBoolean idle = new AtomicBoolean();

	private final CompletableFuture<Void> stopped = new CompletableFuture<>();

	private @Nullable Thread thread;

	private Duty(String name, int ringSize, Duration tickInterval, Runnable tick) {
		this.name = Objects.requireNonNull(name, "name must not be null");
		this.tickNanos = tickInterval.toNanos();
		this.tick = Objects.requireNonNull(tick, "tick must not be null");
		this.ring = RingBuffer.createMultiProducer(Slot::new, ringSize);
		this.poller = this.ring.newPoller();
		this.ring.addGatingSequences(this.poller.getSequence());
	}

	/**
	 * Returns a duty that is not started yet.
	 * @param name name of its thread
	 * @param ringSize most commands that wait, a power of two
	 * @param tickInterval time between two runs of the periodic task
	 * @param tick the periodic task
	 * @return the duty
	 */
	public static Duty create(String name, int ringSize, Duration tickInterval, Runnable tick) {
		return new Duty(name, ringSize, tickInterval, tick);
	}

	/**
	 * Hands a command to the duty's thread. Never blocks; safe for use by any thread.
	 * @param command the command
	 * @return whether the ring had room; otherwise the command will not run
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
	 * Returns how many commands wait.
	 * @return the number, at most the size of the ring
	 */
	public int waiting() {
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
	 * Stops the thread after the commands that wait now.
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
		long nextTick = System.nanoTime() + this.tickNanos;
		while (this.running.get()) {
			boolean worked = drain();
			long now = System.nanoTime();
			if (now - nextTick >= 0) {
				runGuarded(this.tick);
				nextTick = now + this.tickNanos;
			}
			else if (!worked) {
				park(nextTick - now);
			}
		}
		drain();
		this.stopped.complete(null);
	}

	// A producer publishes before it looks whether the duty is idle, and the duty says so
	// before it looks at the ring: one of them sees the other.
	private void park(long nanosToTick) {
		this.idle.set(true);
		if (waiting() == 0) {
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
	 * Place in the ring.
	 */
	private static final class Slot {

		private @Nullable Runnable command;

	}

}
