package org.sardineport.core.scheduling;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.sardineport.core.identity.DaemonId;

/**
 * Daemons of a {@link SchedulingFixture} that read one message after the other, each of
 * which takes processor time. Messages arrive some time after they were sent and wait
 * until they are read. Time passes in steps of a millisecond.
 */
final class BusyDaemons {

	/** Time that a daemon takes for a message, unless it is said to take another. */
	static final Duration MESSAGE_TIME = Duration.ofNanos(100_000);

	private static final long NANOS_PER_STEP = 1_000_000;

	private final SchedulingFixture fleet;

	private final Duration latency;

	private final Deque<Delayed> inTransit = new ArrayDeque<>();

	private final Map<DaemonId, Inbox> inboxes = new HashMap<>();

	private final Set<Inbox> waitingInboxes = new HashSet<>();

	private BusyDaemons(SchedulingFixture fleet, Duration latency) {
		this.fleet = fleet;
		this.latency = latency;
	}

	static BusyDaemons of(SchedulingFixture fleet, Duration latency) {
		return new BusyDaemons(fleet, latency);
	}

	void setMessageTime(String daemon, Duration time) {
		inbox(DaemonId.of(daemon)).messageNanos = time.toNanos();
	}

	/**
	 * Takes the messages that were sent since the last call, and lets each daemon read
	 * those for which it has the time.
	 */
	void deliverDue() {
		long now = nanos();
		for (SchedulingFixture.Sent message : this.fleet.sent) {
			this.inTransit.add(new Delayed(message, now + this.latency.toNanos()));
		}
		this.fleet.sent.clear();
		while (!this.inTransit.isEmpty() && this.inTransit.peekFirst().due() <= now) {
			SchedulingFixture.Sent message = this.inTransit.removeFirst().sent();
			Inbox inbox = inbox(message.to());
			inbox.messages.add(message);
			this.waitingInboxes.add(inbox);
		}
		for (Inbox inbox : List.copyOf(this.waitingInboxes)) {
			read(inbox, now);
		}
	}

	private void read(Inbox inbox, long now) {
		while (!inbox.messages.isEmpty() && inbox.busyUntil <= now) {
			SchedulingFixture.Sent message = inbox.messages.removeFirst();
			inbox.busyUntil = Math.max(inbox.busyUntil, now - NANOS_PER_STEP) + inbox.messageNanos;
			inbox.read++;
			this.fleet.deliver(message);
		}
		if (inbox.messages.isEmpty()) {
			this.waitingInboxes.remove(inbox);
		}
	}

	/**
	 * Runs the periodic work of the daemons that have some.
	 */
	void tick() {
		new ArrayList<>(this.fleet.schedulers.values()).forEach((scheduler) -> {
			if (scheduler.untilTickDue().toMillis() <= 0) {
				scheduler.tick();
			}
		});
	}

	void resetCounts() {
		this.inboxes.values().forEach((inbox) -> inbox.read = 0);
	}

	int readBy(String daemon) {
		return inbox(DaemonId.of(daemon)).read;
	}

	private long nanos() {
		return this.fleet.now.toEpochMilli() * NANOS_PER_STEP;
	}

	private Inbox inbox(DaemonId daemon) {
		return this.inboxes.computeIfAbsent(daemon, (id) -> new Inbox());
	}

	/**
	 * A message on its way.
	 *
	 * @param sent the message
	 * @param due when it arrives, in nanoseconds
	 */
	private record Delayed(SchedulingFixture.Sent sent, long due) {

	}

	/**
	 * What arrived at a daemon and was not read yet.
	 */
	private static final class Inbox {

		private final Deque<SchedulingFixture.Sent> messages = new ArrayDeque<>();

		private long messageNanos = MESSAGE_TIME.toNanos();

		private long busyUntil;

		private int read;

	}

}
