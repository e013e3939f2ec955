package org.sardineport.standins.engine;

import java.time.Duration;
import java.util.Objects;

/**
 * How fast and how able a stand-in for a model engine is.
 *
 * @param concurrency streams that run at once; more wait in the engine
 * @param prefillTokensPerSecond speed of prompt work
 * @param tokenInterval time between two tokens of one stream
 * @param cachedPrefixes prompt prefixes kept in the cache
 * @param loadLag age of the load reports
 * @param eventLag age of the cache events
 * @param checksFencing whether orders with old fencing numbers are refused
 * @param resumesStreams whether streams outlive their connections and can be moved
 */
public record EngineOptions(int concurrency, int prefillTokensPerSecond, Duration tokenInterval, int cachedPrefixes,
		Duration loadLag, Duration eventLag, boolean checksFencing, boolean resumesStreams) {

	/**
	 * Creates the options.
	 */
	public EngineOptions {
		Objects.requireNonNull(tokenInterval, "tokenInterval must not be null");
		Objects.requireNonNull(loadLag, "loadLag must not be null");
		Objects.requireNonNull(eventLag, "eventLag must not be null");
	}

	/**
	 * Returns the options of a fast engine for tests.
	 * @return 8 streams at once, a token each millisecond, no lag
	 */
	public static EngineOptions fast() {
		return new EngineOptions(8, 100_000, Duration.ofMillis(1), 16, Duration.ZERO, Duration.ZERO, true, true);
	}

	/**
	 * Returns these options with another speed.
	 * @param prefill speed of prompt work in tokens a second
	 * @param interval time between two tokens
	 * @return the options
	 */
	public EngineOptions withSpeed(int prefill, Duration interval) {
		return new EngineOptions(this.concurrency, prefill, interval, this.cachedPrefixes, this.loadLag, this.eventLag,
				this.checksFencing, this.resumesStreams);
	}

	/**
	 * Returns these options with another number of streams at once.
	 * @param streams the number
	 * @return the options
	 */
	public EngineOptions withConcurrency(int streams) {
		return new EngineOptions(streams, this.prefillTokensPerSecond, this.tokenInterval, this.cachedPrefixes,
				this.loadLag, this.eventLag, this.checksFencing, this.resumesStreams);
	}

	/**
	 * Returns these options with other abilities.
	 * @param fencing whether old fencing numbers are refused
	 * @param resuming whether streams can be resumed and moved
	 * @return the options
	 */
	public EngineOptions withAbilities(boolean fencing, boolean resuming) {
		return new EngineOptions(this.concurrency, this.prefillTokensPerSecond, this.tokenInterval, this.cachedPrefixes,
				this.loadLag, this.eventLag, fencing, resuming);
	}

	/**
	 * Returns these options with reports that lag.
	 * @param lag age of load reports and cache events
	 * @return the options
	 */
	public EngineOptions withLag(Duration lag) {
		return new EngineOptions(this.concurrency, this.prefillTokensPerSecond, this.tokenInterval, this.cachedPrefixes,
				lag, lag, this.checksFencing, this.resumesStreams);
	}

}
