package org.sardineport.standins.engine;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServerResponse;
import org.jspecify.annotations.Nullable;

/**
 * Runs streams together, as many at once as the engine can, and the others in the order
 * in which they came. Touched on the engine's context only.
 */
final class EngineBatch {

	private static final long MILLIS_PER_SECOND = 1000;

	private final Vertx vertx;

	private final EngineOptions options;

	private final EngineFaults faults;

	private final EngineCounters counters;

	private final Map<String, EngineStream> streams = new HashMap<>();

	private final Deque<EngineStream> waiting = new ArrayDeque<>();

	private final Set<EngineStream> active = new HashSet<>();

	private volatile int heldBack;

	EngineBatch(Vertx vertx, EngineOptions options, EngineFaults faults, EngineCounters counters) {
		this.vertx = vertx;
		this.options = options;
		this.faults = faults;
		this.counters = counters;
	}

	int running() {
		return this.active.size();
	}

	int heldBack() {
		return this.heldBack;
	}

	int waiting() {
		return this.waiting.size();
	}

	@Nullable EngineStream find(String id) {
		return this.streams.get(id);
	}

	boolean isScheduled(EngineStream stream) {
		return this.active.contains(stream) || this.waiting.contains(stream);
	}

	void add(EngineStream stream) {
		this.streams.put(stream.id(), stream);
		this.waiting.add(stream);
		fill();
	}

	void hold(EngineStream suspended) {
		this.streams.put(suspended.id(), suspended);
	}

	void resume(EngineStream stream) {
		if (!stream.isOver() && !isScheduled(stream)) {
			this.waiting.add(stream);
			fill();
		}
	}

	/**
	 * Takes a stream out of the batch.
	 * @param stream the stream
	 * @return whether it was running or waiting
	 */
	boolean remove(EngineStream stream) {
		if (this.streams.remove(stream.id()) == null || stream.isOver()) {
			return false;
		}
		this.waiting.remove(stream);
		this.active.remove(stream);
		stream.cancel();
		fill();
		return true;
	}

	void clear() {
		for (EngineStream stream : this.streams.values()) {
			if (!stream.isOver()) {
				this.counters.cancelled(stream);
				stream.cancel();
			}
		}
		this.streams.clear();
		this.waiting.clear();
		this.active.clear();
	}

	private void fill() {
		while (this.active.size() < this.options.concurrency() && !this.waiting.isEmpty()) {
			start(this.waiting.remove());
		}
	}

	private void start(EngineStream stream) {
		this.active.add(stream);
		if (stream.isPrefilled()) {
			decode(stream);
			return;
		}
		int tokens = stream.promptTokens() - stream.cachedTokens();
		long millis = tokens * MILLIS_PER_SECOND / this.options.prefillTokensPerSecond();
		after(millis, () -> {
			if (!stream.isOver()) {
				stream.prefill();
				this.counters.prefilled(stream);
				decode(stream);
			}
		});
	}

	private void decode(EngineStream stream) {
		if (stream.isHeldBack()) {
			this.heldBack++;
			stream.whenDrained(() -> decode(stream));
			return;
		}
		after(this.options.tokenInterval().toMillis(), () -> {
			if (!stream.isOver()) {
				step(stream);
			}
		});
	}

	private void step(EngineStream stream) {
		stream.token();
		if (stream.produced() == this.faults.truncateAfterTokens()) {
			this.counters.cancelled(stream);
			remove(stream);
		}
		else if (stream.isComplete()) {
			this.counters.completed(stream);
			stream.finish(!this.faults.isWithoutFinalEvent());
			this.active.remove(stream);
			forgetUnlessResumable(stream);
			fill();
		}
		else {
			decode(stream);
		}
	}

	private void forgetUnlessResumable(EngineStream stream) {
		HttpServerResponse response = stream.response();
		if (!this.options.resumesStreams() || (response != null && !response.closed())) {
			this.streams.remove(stream.id());
		}
	}

	private void after(long millis, Runnable step) {
		this.vertx.setTimer(Math.max(1, millis * this.faults.slowdown()), (id) -> step.run());
	}

}
