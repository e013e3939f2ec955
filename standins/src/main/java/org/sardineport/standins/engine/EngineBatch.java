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
 * Batch of the streams that an engine runs concurrently, with a FIFO queue of the streams
 * that exceed its concurrency. Confined to the Vert.x context of the engine, except for
 * {@link #backpressureCount()}.
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

	private volatile int backpressureCount;

	EngineBatch(Vertx vertx, EngineOptions options, EngineFaults faults, EngineCounters counters) {
		this.vertx = vertx;
		this.options = options;
		this.faults = faults;
		this.counters = counters;
	}

	int running() {
		return this.active.size();
	}

	int backpressureCount() {
		return this.backpressureCount;
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
		startWaiting();
	}

	void addSuspended(EngineStream suspended) {
		this.streams.put(suspended.id(), suspended);
	}

	void resume(EngineStream stream) {
		if (!stream.isEnded() && !isScheduled(stream)) {
			this.waiting.add(stream);
			startWaiting();
		}
	}

	/**
	 * Cancels a stream and removes it from the batch or the queue.
	 * @param stream the stream
	 * @return whether it was running or waiting
	 */
	boolean remove(EngineStream stream) {
		if (this.streams.remove(stream.id()) == null || stream.isEnded()) {
			return false;
		}
		this.waiting.remove(stream);
		this.active.remove(stream);
		stream.cancel();
		startWaiting();
		return true;
	}

	void clear() {
		for (EngineStream stream : this.streams.values()) {
			if (!stream.isEnded()) {
				this.counters.cancelled(stream);
				stream.cancel();
			}
		}
		this.streams.clear();
		this.waiting.clear();
		this.active.clear();
	}

	private void startWaiting() {
		while (this.active.size() < this.options.concurrency() && !this.waiting.isEmpty()) {
			start(this.waiting.remove());
		}
	}

	private void start(EngineStream stream) {
		this.active.add(stream);
		if (stream.isPrefilled()) {
			scheduleNext(stream);
			return;
		}
		int tokens = stream.promptTokens() - stream.cachedTokens();
		long millis = tokens * MILLIS_PER_SECOND / this.options.prefillTokensPerSecond();
		schedule(millis, () -> {
			if (!stream.isEnded()) {
				stream.markPrefilled();
				this.counters.prefilled(stream);
				scheduleNext(stream);
			}
		});
	}

	private void scheduleNext(EngineStream stream) {
		if (stream.isWriteQueueFull()) {
			this.backpressureCount++;
			stream.whenDrained(() -> scheduleNext(stream));
			return;
		}
		schedule(this.options.tokenInterval().toMillis(), () -> {
			if (!stream.isEnded()) {
				generateNext(stream);
			}
		});
	}

	private void generateNext(EngineStream stream) {
		stream.generateToken();
		if (stream.produced() == this.faults.truncateAfterTokens()) {
			this.counters.cancelled(stream);
			remove(stream);
		}
		else if (stream.isComplete()) {
			this.counters.completed(stream);
			stream.finish(!this.faults.isOmittingFinalEvent());
			this.active.remove(stream);
			removeUnlessResumable(stream);
			startWaiting();
		}
		else {
			scheduleNext(stream);
		}
	}

	private void removeUnlessResumable(EngineStream stream) {
		HttpServerResponse response = stream.response();
		if (!this.options.resumesStreams() || (response != null && !response.closed())) {
			this.streams.remove(stream.id());
		}
	}

	private void schedule(long millis, Runnable step) {
		this.vertx.setTimer(Math.max(1, millis * this.faults.slowdown()), (id) -> step.run());
	}

}
