package org.sardineport.daemon.fleet;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;

import org.sardineport.core.fleet.ListRead;
import org.sardineport.core.fleet.ListReads;
import org.sardineport.core.port.platform.VmListing;

/**
 * Schedules the reads of the VM list and keeps who waits for one. Thread-safe.
 */
final class VmListReads implements ListReads {

	/** Minimum time between the starts of two reads. */
	private static final Duration MIN_INTERVAL = Duration.ofMillis(500);

	/** The end of the read in progress is an event of its own. */
	private static final Duration WHILE_READING = Duration.ofDays(1);

	private final Duration interval;

	private final Runnable wakeUp;

	private final List<Waiter> waiters = new ArrayList<>();

	private final List<Consumer<ListRead>> listeners = new CopyOnWriteArrayList<>();

	private ListRead last = ListRead.NONE;

	private Instant startedAt = Instant.MIN;

	private boolean reading;

	private boolean wantedSoon;

	/**
	 * Creates a schedule without reads.
	 * @param interval time between the starts of two reads
	 * @param wakeUp called from any thread when a read is wanted earlier
	 */
	VmListReads(Duration interval, Runnable wakeUp) {
		this.interval = interval;
		this.wakeUp = wakeUp;
	}

	/**
	 * Returns how long {@link #beginIfDue} has nothing to begin.
	 * @param now the time
	 * @return the time until the next read; a day while one is in progress
	 */
	synchronized Duration untilDue(Instant now) {
		if (this.reading) {
			return WHILE_READING;
		}
		return this.startedAt.equals(Instant.MIN) ? Duration.ZERO
				: Duration.between(now, this.startedAt.plus(currentInterval()));
	}

	private Duration currentInterval() {
		return (this.wantedSoon && MIN_INTERVAL.compareTo(this.interval) < 0) ? MIN_INTERVAL : this.interval;
	}

	/**
	 * Begins a read if one is due and none is in progress.
	 * @param now the time
	 * @return whether to read now; then {@link #completed} or {@link #failed} must follow
	 */
	synchronized boolean beginIfDue(Instant now) {
		boolean due = !now.minus(currentInterval()).isBefore(this.startedAt);
		if (this.reading || !due) {
			return false;
		}
		this.reading = true;
		this.wantedSoon = false;
		this.startedAt = now;
		return true;
	}

	synchronized void failed() {
		this.reading = false;
	}

	void completed(VmListing listing) {
		ListRead read;
		List<Waiter> satisfied;
		synchronized (this) {
			this.reading = false;
			read = ListRead.of(this.startedAt, listing);
			this.last = read;
			satisfied = this.waiters.stream().filter((waiter) -> read.beganSince(waiter.time())).toList();
			this.waiters.removeAll(satisfied);
		}
		satisfied.forEach((waiter) -> waiter.future().complete(read));
		this.listeners.forEach((listener) -> listener.accept(read));
	}

	@Override
	public synchronized ListRead last() {
		return this.last;
	}

	@Override
	public synchronized CompletableFuture<ListRead> since(Instant time) {
		if (this.last.beganSince(time)) {
			return CompletableFuture.completedFuture(this.last);
		}
		Waiter waiter = new Waiter(time, new CompletableFuture<>());
		this.waiters.add(waiter);
		return waiter.future();
	}

	@Override
	public void addListener(Consumer<ListRead> listener) {
		this.listeners.add(Objects.requireNonNull(listener, "listener must not be null"));
	}

	@Override
	public void readSoon() {
		synchronized (this) {
			if (this.wantedSoon) {
				return;
			}
			this.wantedSoon = true;
		}
		this.wakeUp.run();
	}

	/**
	 * Waits for a read.
	 *
	 * @param time earliest start of the read
	 * @param future completed with the read
	 */
	private record Waiter(Instant time, CompletableFuture<ListRead> future) {

	}

}
