package org.sardineport.standins.engine;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * What an engine counted. Safe for use by any thread.
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
	 * Returns how often each request was received, by its tag.
	 * @return the numbers by tag
	 */
	public Map<String, Integer> dispatches() {
		Map<String, Integer> counts = new HashMap<>();
		this.dispatches.forEach((tag, count) -> counts.put(tag, count.get()));
		return Map.copyOf(counts);
	}

	/**
	 * Returns the prompt tokens worked on.
	 * @return the number, cached tokens left out
	 */
	public long prefillTokens() {
		return this.prefillTokens.get();
	}

	/**
	 * Returns the prompt tokens worked on for answers that were not finished.
	 * @return the number
	 */
	public long wastedPrefillTokens() {
		return this.wastedPrefillTokens.get();
	}

	/**
	 * Returns the prompt tokens taken from the cache.
	 * @return the number
	 */
	public long cachedTokens() {
		return this.cachedTokens.get();
	}

	/**
	 * Returns the whole answers given.
	 * @return the number
	 */
	public int completed() {
		return this.completed.get();
	}

	/**
	 * Returns the streams that ended early.
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
