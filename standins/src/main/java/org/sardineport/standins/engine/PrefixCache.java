package org.sardineport.standins.engine;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Prefix cache of limited size with LRU eviction. Its events become visible after a
 * delay. Not thread-safe.
 */
final class PrefixCache {

	private static final int MAXIMUM_EVENTS = 1000;

	private final int capacity;

	private final Duration eventLag;

	private final InstantSource clock;

	private final Map<Long, Boolean> prefixes = new LinkedHashMap<>(16, 0.75f, true);

	private final List<TimedEvent> events = new ArrayList<>();

	private long sequence;

	PrefixCache(int capacity, Duration eventLag, InstantSource clock) {
		this.capacity = capacity;
		this.eventLag = eventLag;
		this.clock = clock;
	}

	boolean access(long prefixHash) {
		if (prefixHash == 0 || this.capacity == 0) {
			return false;
		}
		if (this.prefixes.put(prefixHash, true) != null) {
			return true;
		}
		publish(prefixHash, true);
		if (this.prefixes.size() > this.capacity) {
			Long leastRecentlyUsed = this.prefixes.keySet().iterator().next();
			this.prefixes.remove(leastRecentlyUsed);
			publish(leastRecentlyUsed, false);
		}
		return false;
	}

	void clear() {
		this.prefixes.clear();
	}

	List<CacheEventRecord> events(long after, boolean withGaps) {
		Instant visibleUntil = this.clock.instant().minus(this.eventLag);
		return this.events.stream()
			.filter((event) -> !event.at().isAfter(visibleUntil) && event.event().sequence() > after)
			.map(TimedEvent::event)
			.filter((event) -> !withGaps || event.sequence() % 2 == 0)
			.toList();
	}

	private void publish(long prefixHash, boolean stored) {
		this.sequence++;
		this.events.add(new TimedEvent(this.clock.instant(), new CacheEventRecord(this.sequence, prefixHash, stored)));
		if (this.events.size() > MAXIMUM_EVENTS) {
			this.events.remove(0);
		}
	}

	/**
	 * Event with the time at which it happened.
	 */
	private record TimedEvent(Instant at, CacheEventRecord event) {

	}

}
