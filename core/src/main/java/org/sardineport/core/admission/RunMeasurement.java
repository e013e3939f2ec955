package org.sardineport.core.admission;

import java.time.Duration;
import java.util.Objects;

import org.jspecify.annotations.Nullable;

/**
 * What was measured of one run on a backend server.
 *
 * @param end how it ended
 * @param promptTokens tokens of the prompt, as reported or estimated
 * @param cachedPromptTokens prompt tokens taken from the engine's cache, or
 * {@link #CACHE_NOT_REPORTED}
 * @param answerTokens tokens received
 * @param timeToFirstToken from dispatch to the first byte of the answer's body, or
 * {@code null} if none came
 * @param duration from dispatch to the end
 */
public record RunMeasurement(RunEnd end, int promptTokens, int cachedPromptTokens, int answerTokens,
		@Nullable Duration timeToFirstToken, Duration duration) {

	/** Stands for the cached tokens where the engine does not report them. */
	public static final int CACHE_NOT_REPORTED = -1;

	/**
	 * Creates the measurement.
	 */
	public RunMeasurement {
		Objects.requireNonNull(end, "end must not be null");
		Objects.requireNonNull(duration, "duration must not be null");
	}

	/**
	 * Returns the measurement of a permit that was given back.
	 * @param end how it ended
	 * @return a measurement of zeros
	 */
	public static RunMeasurement none(RunEnd end) {
		return new RunMeasurement(end, 0, 0, 0, null, Duration.ZERO);
	}

	/**
	 * Returns this measurement with what was expected of the cache where the engine does
	 * not report it.
	 * @param expectedUncachedTokens prompt tokens expected not to be cached
	 * @return a measurement whose cached tokens are known
	 */
	public RunMeasurement withExpectedCache(int expectedUncachedTokens) {
		if (this.cachedPromptTokens != CACHE_NOT_REPORTED) {
			return this;
		}
		int cached = Math.max(0, this.promptTokens - expectedUncachedTokens);
		return new RunMeasurement(this.end, this.promptTokens, cached, this.answerTokens, this.timeToFirstToken,
				this.duration);
	}

}
