package org.sardineport.standins.engine;

import java.time.Duration;
import java.util.Objects;

/**
 * Speed and capabilities of a fake model engine. Immutable.
 *
 * @param concurrency number of streams that run at once; others wait in the engine's
 * queue
 * @param prefillTokensPerSecond prefill rate, in prompt tokens per second
 * @param tokenInterval time between two tokens of one stream
 * @param cachedPrefixes capacity of the prefix cache, in prompt prefixes
 * @param loadLag delay until a change shows in the load reports
 * @param eventLag delay until a cache event can be read
 * @param checksFencing whether orders with an outdated fencing number are rejected
 * @param resumesStreams whether streams outlive their connections and can be resumed,
 * exported and imported
 */
public record EngineOptions(int concurrency, int prefillTokensPerSecond, Duration tokenInterval, int cachedPrefixes,
		Duration loadLag, Duration eventLag, boolean checksFencing, boolean resumesStreams) {

	/**
	 * Creates the options.
	 * @throws NullPointerException if a duration is {@code null}
	 */
	public EngineOptions {
		Objects.requireNonNull(tokenInterval, "tokenInterval must not be null");
		Objects.requireNonNull(loadLag, "loadLag must not be null");
		Objects.requireNonNull(eventLag, "eventLag must not be null");
	}

	/**
	 * Returns the options of a fast engine for tests.
	 * @return options with a concurrency of 8, one token per millisecond, no lag and all
	 * capabilities
	 */
	public static EngineOptions fast() {
		return new EngineOptions(8, 100_000, Duration.ofMillis(1), 16, Duration.ZERO, Duration.ZERO, true, true);
	}

	/**
	 * Returns a copy of these options with other speeds.
	 * @param prefill prefill rate, in prompt tokens per second
	 * @param interval time between two tokens of one stream
	 * @return the options
	 */
	public EngineOptions withSpeed(int prefill, Duration interval) {
		return new EngineOptions(this.concurrency, prefill, interval, this.cachedPrefixes, this.loadLag, this.eventLag,
				this.checksFencing, this.resumesStreams);
	}

	/**
	 * Returns a copy of these options with another concurrency.
	 * @param streams number of streams that run at once
	 * @return the options
	 */
	public EngineOptions withConcurrency(int streams) {
		return new EngineOptions(streams, this.prefillTokensPerSecond, this.tokenInterval, this.cachedPrefixes,
				this.loadLag, this.eventLag, this.checksFencing, this.resumesStreams);
	}

	/**
	 * Returns a copy of these options with other capabilities.
	 * @param fencing whether orders with an outdated fencing number are rejected
	 * @param resuming whether streams can be resumed, exported and imported
	 * @return the options
	 */
	public EngineOptions withAbilities(boolean fencing, boolean resuming) {
		return new EngineOptions(this.concurrency, this.prefillTokensPerSecond, this.tokenInterval, this.cachedPrefixes,
				this.loadLag, this.eventLag, fencing, resuming);
	}

	/**
	 * Returns a copy of these options with delayed load reports and cache events.
	 * @param lag delay of both
	 * @return the options
	 */
	public EngineOptions withLag(Duration lag) {
		return new EngineOptions(this.concurrency, this.prefillTokensPerSecond, this.tokenInterval, this.cachedPrefixes,
				lag, lag, this.checksFencing, this.resumesStreams);
	}

}
