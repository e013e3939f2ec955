package org.sardineport.bench.policy;

import java.time.Instant;
import java.time.InstantSource;
import java.util.PriorityQueue;

/**
 * Queue of events in the order of their virtual time, and the clock that they advance.
 * Not thread-safe.
 */
final class VirtualTimeline implements InstantSource {

	private static final Instant START = Instant.ofEpochSecond(1_000_000);

	private final PriorityQueue<Event> events = new PriorityQueue<>();

	private double now;

	private long sequence;

	/**
	 * Schedules an action.
	 * @param delayMillis delay from the current virtual time, in milliseconds
	 * @param action the action
	 */
	void schedule(double delayMillis, Runnable action) {
		this.events.add(new Event(this.now + delayMillis, this.sequence++, action));
	}

	/**
	 * Advances the clock to the next event and runs it.
	 * @return whether there was an event
	 */
	boolean runNext() {
		Event next = this.events.poll();
		if (next == null) {
			return false;
		}
		this.now = next.at;
		next.action.run();
		return true;
	}

	/**
	 * Returns the current virtual time.
	 * @return milliseconds since the start
	 */
	double millisNow() {
		return this.now;
	}

	@Override
	public Instant instant() {
		return at(this.now);
	}

	static Instant at(double millis) {
		return START.plusNanos((long) (millis * 1e6));
	}

	/**
	 * Scheduled action.
	 *
	 * @param at virtual time in milliseconds
	 * @param sequence order of events with the same time
	 * @param action the action
	 */
	private record Event(double at, long sequence, Runnable action) implements Comparable<Event> {

		@Override
		public int compareTo(Event other) {
			int byTime = Double.compare(this.at, other.at);
			return (byTime != 0) ? byTime : Long.compare(this.sequence, other.sequence);
		}

	}

}
