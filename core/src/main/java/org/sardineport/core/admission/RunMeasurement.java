package org.sardineport.core.admission;

import java.time.Duration;
import java.util.Objects;

import org.jspecify.annotations.Nullable;

/**
 * What was measured of one run on a backend server.
 *
 * @param end how it ended
 * @param promptTokens tokens of the prompt, as reported or estimated
 * @param cachedPromptTokens prompt tokens taken from the engine's cache, 0 if not known
 * @param answerTokens tokens received
 * @param timeToFirstToken from dispatch to the first byte of the answer's body, or
 * {@code null} if none came
 * @param duration from dispatch to the end
 */
public record RunMeasurement(RunEnd end, int promptTokens, int cachedPromptTokens, int answerTokens,
		@Nullable Duration timeToFirstToken, Duration duration) {

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

}
