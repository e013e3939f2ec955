package org.sardineport.standins.engine;

import java.time.Duration;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.Map;

/**
 * State of one engine of an {@link InMemoryModelEngine}. Confined to the executor thread
 * of that fake, except for {@link #isLeaving()}, {@link #setLeaving(boolean)} and the
 * objects that are thread-safe themselves.
 */
final class InMemoryEngineState {

	private final EngineOptions options;

	private final EngineFaults faults = new EngineFaults();

	private final EngineCounters counters = new EngineCounters();

	private final PrefixCache cache;

	private final Map<String, InMemoryStream> streams = new HashMap<>();

	private OrderRecord order = new OrderRecord("LOAD_MODEL", "none", -1);

	private volatile boolean leaving;

	InMemoryEngineState(EngineOptions options, InstantSource clock) {
		this.options = options;
		this.cache = new PrefixCache(options.cachedPrefixes(), options.eventLag(), clock);
	}

	EngineOptions options() {
		return this.options;
	}

	EngineFaults faults() {
		return this.faults;
	}

	EngineCounters counters() {
		return this.counters;
	}

	PrefixCache cache() {
		return this.cache;
	}

	Map<String, InMemoryStream> streams() {
		return this.streams;
	}

	OrderRecord order() {
		return this.order;
	}

	void setOrder(OrderRecord newOrder) {
		this.order = newOrder;
	}

	boolean isLeaving() {
		return this.leaving;
	}

	void setLeaving(boolean isLeaving) {
		this.leaving = isLeaving;
	}

	int running() {
		// A lag of more than a minute stands for a report that predates the first
		// request.
		return (this.options.loadLag().compareTo(Duration.ofMinutes(1)) > 0) ? 0
				: (int) this.streams.values().stream().filter(InMemoryStream::isRunning).count();
	}

}
