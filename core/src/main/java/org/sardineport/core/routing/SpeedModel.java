package org.sardineport.core.routing;

import java.time.Duration;

import org.sardineport.core.admission.RunMeasurement;

/**
 * Estimates the speed of one backend server from completed runs by two linear
 * regressions: time to the first token over prompt tokens, and time per further token
 * over concurrency. Not thread-safe.
 */
public final class SpeedModel {

	/** Minimum number of response tokens for a usable decode time. */
	private static final int MIN_RESPONSE_TOKENS = 4;

	/** Variance of the prompt tokens above which a slope is fitted. */
	private static final double MIN_PROMPT_TOKEN_VARIANCE = 50 * 50;

	/** Variance of the concurrency above which a slope is fitted. */
	private static final double MIN_CONCURRENCY_VARIANCE = 0.5;

	/**
	 * Ratio of measured to expected decode time above which, or below whose inverse, a
	 * sample is an outlier.
	 */
	private static final double OUTLIER_RATIO = 2.0;

	/**
	 * Number of consecutive outliers after which all earlier samples are dropped, as the
	 * speed has changed.
	 */
	private static final int OUTLIERS_BEFORE_RESET = 3;

	private final DecayingLinearRegression prefill = new DecayingLinearRegression(MIN_PROMPT_TOKEN_VARIANCE);

	private final DecayingLinearRegression decode = new DecayingLinearRegression(MIN_CONCURRENCY_VARIANCE);

	private int consecutiveOutliers;

	private Speed speed = Speed.UNKNOWN;

	private SpeedModel() {
	}

	/**
	 * Returns a model without samples, whose speed is {@link Speed#UNKNOWN}.
	 * @return the model
	 */
	public static SpeedModel create() {
		return new SpeedModel();
	}

	/**
	 * Returns the current estimate.
	 * @return the speed
	 */
	public Speed speed() {
		return this.speed;
	}

	/**
	 * Updates the estimate with a run that returned a complete response. Runs without a
	 * prompt or a time to the first token are ignored.
	 * @param measurement measurement of the run
	 * @param meanConcurrency mean number of concurrent requests during the run, including
	 * this one
	 * @param backlogTokens prompt tokens queued for prefill ahead of this run's own
	 */
	public void observe(RunMeasurement measurement, double meanConcurrency, double backlogTokens) {
		Duration first = measurement.timeToFirstToken();
		if (first == null || measurement.promptTokens() == 0) {
			return;
		}
		double uncached = Math.max(0, measurement.promptTokens() - measurement.cachedPromptTokens());
		double decodeMillis = millis(measurement.duration()) - millis(first);
		if (measurement.answerTokens() >= MIN_RESPONSE_TOKENS) {
			observeDecode(decodeMillis / (measurement.answerTokens() - 1), meanConcurrency);
		}
		this.prefill.add(uncached + backlogTokens, millis(first));
		refresh();
	}

	private void observeDecode(double millisPerToken, double meanConcurrency) {
		double expected = this.speed.decodeMillis(1, (int) Math.round(meanConcurrency));
		double ratio = millisPerToken / Math.max(expected, Double.MIN_NORMAL);
		boolean outlier = !this.decode.isEmpty() && (ratio > OUTLIER_RATIO || ratio < 1 / OUTLIER_RATIO);
		this.consecutiveOutliers = (outlier) ? this.consecutiveOutliers + 1 : 0;
		if (this.consecutiveOutliers >= OUTLIERS_BEFORE_RESET) {
			this.decode.reset();
			this.prefill.reset();
			this.consecutiveOutliers = 0;
		}
		this.decode.add(meanConcurrency - 1, millisPerToken);
	}

	private void refresh() {
		double perToken = this.prefill.slope(this.speed.prefillMillisPerToken());
		double perRunning = (this.decode.isEmpty()) ? 0 : this.decode.slope(0);
		double base = (this.decode.isEmpty()) ? this.speed.decodeMillisBase() : this.decode.intercept(perRunning);
		this.speed = new Speed(this.prefill.intercept(perToken), perToken, base, perRunning);
	}

	private static double millis(Duration duration) {
		return duration.toNanos() / 1e6;
	}

}
