package org.sardineport.core.admission;

import java.time.Duration;
import java.util.Objects;

import org.jspecify.annotations.Nullable;

/**
 * Measurements of one run on a backend server.
 *
 * @param end how the run ended
 * @param promptTokens tokens of the prompt, as reported or estimated
 * @param cachedPromptTokens prompt tokens taken from the engine's cache, or
 * {@link #CACHE_NOT_REPORTED}
 * @param answerTokens response tokens received
 * @param timeToFirstToken time from dispatch to the first byte of the response body, or
 * {@code null} if none was received
 * @param duration time from dispatch to the end of the run
 * @param statedRequests number of requests that ran or waited on the backend server when
 * it responded, as it states; {@link #NOT_STATED} if it does not
 */
public record RunMeasurement(RunEnd end, int promptTokens, int cachedPromptTokens, int answerTokens,
		@Nullable Duration timeToFirstToken, Duration duration, int statedRequests) {

	/** Value of {@code cachedPromptTokens} if the engine does not report them. */
	public static final int CACHE_NOT_REPORTED = -1;

	/** Value of {@code statedRequests} if the backend server does not state its load. */
	public static final int NOT_STATED = -1;

	/**
	 * Creates the measurement and checks that its end and duration are present.
	 */
	public RunMeasurement {
		Objects.requireNonNull(end, "end must not be null");
		Objects.requireNonNull(duration, "duration must not be null");
	}

	/**
	 * Creates the measurement of a run on a backend server that does not state its load.
	 * @param end how the run ended
	 * @param promptTokens tokens of the prompt, as reported or estimated
	 * @param cachedPromptTokens prompt tokens taken from the engine's cache, or
	 * {@link #CACHE_NOT_REPORTED}
	 * @param answerTokens response tokens received
	 * @param timeToFirstToken time from dispatch to the first byte of the response body,
	 * or {@code null} if none was received
	 * @param duration time from dispatch to the end of the run
	 */
	public RunMeasurement(RunEnd end, int promptTokens, int cachedPromptTokens, int answerTokens,
			@Nullable Duration timeToFirstToken, Duration duration) {
		this(end, promptTokens, cachedPromptTokens, answerTokens, timeToFirstToken, duration, NOT_STATED);
	}

	/**
	 * Returns this measurement with the load that the backend server stated.
	 * @param requests number of requests that ran or waited there when it responded
	 * @return a measurement with the same numbers otherwise
	 */
	public RunMeasurement withStatedRequests(int requests) {
		return new RunMeasurement(this.end, this.promptTokens, this.cachedPromptTokens, this.answerTokens,
				this.timeToFirstToken, this.duration, requests);
	}

	/**
	 * Returns the measurement of a permit without a run.
	 * @param end how the use of the permit ended
	 * @return a measurement whose numbers are all 0
	 */
	public static RunMeasurement none(RunEnd end) {
		return new RunMeasurement(end, 0, 0, 0, null, Duration.ZERO);
	}

	/**
	 * Returns this measurement with another end.
	 * @param otherEnd how the run ended
	 * @return a measurement with the same numbers
	 */
	public RunMeasurement endedBy(RunEnd otherEnd) {
		return new RunMeasurement(otherEnd, this.promptTokens, this.cachedPromptTokens, this.answerTokens,
				this.timeToFirstToken, this.duration, this.statedRequests);
	}

	/**
	 * Returns this measurement with the expected cached tokens if the engine does not
	 * report them.
	 * @param expectedUncachedTokens number of prompt tokens expected not to be cached
	 * @return a measurement with cached tokens from 0; this one if the engine reports
	 * them
	 */
	public RunMeasurement withExpectedCache(int expectedUncachedTokens) {
		if (this.cachedPromptTokens != CACHE_NOT_REPORTED) {
			return this;
		}
		int cached = Math.max(0, this.promptTokens - expectedUncachedTokens);
		return new RunMeasurement(this.end, this.promptTokens, cached, this.answerTokens, this.timeToFirstToken,
				this.duration, this.statedRequests);
	}

}
