package org.sardineport.standins.engine;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Counters of the work of a fake engine. Thread-safe.
 */
public final class EngineCounters {

	private final Map<String, AtomicInteger> dispatches = new ConcurrentHashMap<>();

	private final AtomicLong prefillTokens = new AtomicLong();

	private final AtomicLong wastedPrefillTokens = new AtomicLong();

	private final AtomicLong cachedTokens = new AtomicLong();

	private final AtomicInteger completed = new AtomicInteger();

	private final AtomicInteger cancelled = new AtomicInteger();

	EngineCounters() {
	}

	/**
	 * Returns how often each request was received. More than one dispatch of a tag shows
	 * that a request ran again.
	 * @return a snapshot of the numbers, by the tag of the request
	 */
	public Map<String, Integer> dispatches() {
		Map<String, Integer> counts = new HashMap<>();
		this.dispatches.forEach((tag, count) -> counts.put(tag, count.get()));
		return Map.copyOf(counts);
	}

	/**
	 * Returns the number of prompt tokens that were prefilled.
	 * @return the number, without tokens taken from the cache
	 */
	public long prefillTokens() {
		return this.prefillTokens.get();
	}

	/**
	 * Returns the number of prompt tokens that were prefilled for streams that did not
	 * complete.
	 * @return the number, without tokens taken from the cache
	 */
	public long wastedPrefillTokens() {
		return this.wastedPrefillTokens.get();
	}

	/**
	 * Returns the number of prompt tokens that were taken from the cache.
	 * @return the number
	 */
	public long cachedTokens() {
		return this.cachedTokens.get();
	}

	/**
	 * Returns the number of complete responses.
	 * @return the number
	 */
	public int completed() {
		return this.completed.get();
	}

	/**
	 * Returns the number of streams that ended before their response was complete.
	 * @return the number
	 */
	public int cancelled() {
		return this.cancelled.get();
	}

	void received(String tag) {
		this.dispatches.computeIfAbsent(tag, (ignored) -> new AtomicInteger()).incrementAndGet();
	}

	void prefilled(EngineStream stream) {
		this.prefillTokens.addAndGet(stream.promptTokens() - stream.cachedTokens());
		this.cachedTokens.addAndGet(stream.cachedTokens());
	}

	void completed(EngineStream stream) {
		this.completed.incrementAndGet();
	}

	void cancelled(EngineStream stream) {
		this.cancelled.incrementAndGet();
		if (stream.isPrefilled()) {
			this.wastedPrefillTokens.addAndGet(stream.promptTokens() - stream.cachedTokens());
		}
	}

}
