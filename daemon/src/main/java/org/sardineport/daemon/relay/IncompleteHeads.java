package org.sardineport.daemon.relay;

import java.time.Duration;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

import org.sardineport.core.relay.CallerMemory;
import org.sardineport.core.relay.MemoryHolder;
import org.sardineport.daemon.telemetry.EventLog;

/**
 * Connections of all listeners that hold memory for a head that is not complete, or for a
 * request that was answered before its body was read. Closes those for which there is no
 * memory, and those that take too long for a head; no answer is missed on any of them.
 * Confined to the event loop.
 */
final class IncompleteHeads {

	private static final EventLog LOG = EventLog.of(IncompleteHeads.class);

	private final CallerMemory memory;

	private final InstantSource clock;

	/** When each connection began to hold such memory, in milliseconds of the clock. */
	private final Map<ConnectionLoad, Long> begunAt = new HashMap<>();

	/** Those that were too late at the latest check. */
	private Set<ConnectionLoad> overdue = Set.of();

	/**
	 * Creates an instance without heads.
	 * @param memory account of the memory held for callers
	 * @param clock a monotonic clock
	 */
	IncompleteHeads(CallerMemory memory, InstantSource clock) {
		this.memory = Objects.requireNonNull(memory, "memory must not be null");
		this.clock = Objects.requireNonNull(clock, "clock must not be null");
	}

	/**
	 * Reserves memory for a head. If there is no room, others are given up that hold much
	 * for long.
	 * @param load the connection
	 * @param reserved bytes reserved for the head so far
	 * @param needed bytes that it needs in all
	 * @return whether there is room
	 */
	boolean tryReserve(ConnectionLoad load, long reserved, long needed) {
		if (needed <= reserved) {
			return true;
		}
		this.begunAt.putIfAbsent(load, this.clock.millis());
		while (!this.memory.tryReserve(reserved, needed)) {
			Optional<ConnectionLoad> worst = MemoryHolder.worst(holders());
			if (worst.isEmpty()) {
				return false;
			}
			giveUp(worst.get(), "memory");
			if (worst.get() == load) {
				return false;
			}
		}
		return true;
	}

	private List<MemoryHolder<ConnectionLoad>> holders() {
		long now = this.clock.millis();
		return this.begunAt.entrySet()
			.stream()
			.map((entry) -> new MemoryHolder<>(entry.getKey(), entry.getKey().incompleteBytes(),
					Duration.ofMillis(now - entry.getValue())))
			.toList();
	}

	private void giveUp(ConnectionLoad load, String cause) {
		LOG.info("caller.head-given-up", "cause", cause, "bytes", load.incompleteBytes(), "age-ms",
				this.clock.millis() - this.begunAt.getOrDefault(load, this.clock.millis()));
		this.begunAt.remove(load);
		load.giveUp();
	}

	/**
	 * Records that a connection holds memory for a request that was answered before its
	 * body was read.
	 * @param load the connection
	 */
	void hold(ConnectionLoad load) {
		this.begunAt.putIfAbsent(load, this.clock.millis());
	}

	/**
	 * Records that a connection holds no memory any more that may be needed for others.
	 * @param load the connection
	 */
	void completed(ConnectionLoad load) {
		this.begunAt.remove(load);
	}

	/**
	 * Releases memory.
	 * @param reserved bytes reserved for a head
	 */
	void release(long reserved) {
		this.memory.release(reserved);
	}

	/**
	 * Closes the connections whose head was too late at the check before and still is:
	 * what had come by then has been read since, even if this daemon stood still.
	 * @param timeout maximum time for a head
	 */
	void closeOverdue(Duration timeout) {
		long latest = this.clock.millis() - timeout.toMillis();
		Set<ConnectionLoad> late = new HashSet<>();
		this.begunAt.forEach((load, begun) -> {
			if (begun <= latest && load.isReadingHead()) {
				late.add(load);
			}
		});
		Set<ConnectionLoad> lateTwice = new HashSet<>(late);
		lateTwice.retainAll(this.overdue);
		lateTwice.forEach((load) -> giveUp(load, "timeout"));
		this.overdue = late;
	}

}
