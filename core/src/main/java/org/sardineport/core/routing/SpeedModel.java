package org.sardineport.core.routing;

import java.time.Duration;

import org.sardineport.core.admission.RunMeasurement;

/**
 * Learns the speed of one backend server from finished runs: time to the first token as a
 * line over prompt tokens, and time for each further token as a line over concurrency.
 * Not safe for use by several threads.
 */
public final class SpeedModel {

	/** Answers with fewer tokens are too short to time. */
	private static final int SMALLEST_ANSWER = 4;

	/** Least variance of prompt tokens for which a slope is fitted. */
	private static final double LEAST_TOKEN_VARIANCE = 50 * 50;

	/** Least variance of the concurrency for which a slope is fitted. */
	private static final double LEAST_RUNNING_VARIANCE = 0.5;

	/** Ratio of measured to expected beyond which a sample counts as a surprise. */
	private static final double SURPRISE = 2.0;

	/** Surprises in a row after which old samples are forgotten. */
	private static final int SURPRISES_TO_FORGET = 3;

	private final DecayingLine prefill = new DecayingLine(LEAST_TOKEN_VARIANCE);

	private final DecayingLine decode = new DecayingLine(LEAST_RUNNING_VARIANCE);

	private int surprises;

	private Speed speed = Speed.UNKNOWN;

	private SpeedModel() {
	}

	/**
	 * Returns a model that has seen nothing.
	 * @return the model
	 */
	public static SpeedModel create() {
		return new SpeedModel();
	}

	/**
	 * Returns the present estimate.
	 * @return the speed
	 */
	public Speed speed() {
		return this.speed;
	}

	/**
	 * Learns from a run that ended with a whole answer.
	 * @param measurement what was measured
	 * @param running requests that ran beside each other during the run, on average
	 * @param backlogTokens prompt tokens that were to be prefilled before its own
	 */
	public void observe(RunMeasurement measurement, double running, double backlogTokens) {
		Duration first = measurement.timeToFirstToken();
		if (first == null || measurement.promptTokens() == 0) {
			return;
		}
		double uncached = Math.max(0, measurement.promptTokens() - measurement.cachedPromptTokens());
		double decodeMillis = millis(measurement.duration()) - millis(first);
		if (measurement.answerTokens() >= SMALLEST_ANSWER) {
			observeDecode(decodeMillis / (measurement.answerTokens() - 1), running);
		}
		this.prefill.add(uncached + backlogTokens, millis(first));
		refresh();
	}

	private void observeDecode(double millisPerToken, double running) {
		double expected = this.speed.decodeMillis(1, (int) Math.round(running));
		double ratio = millisPerToken / Math.max(expected, Double.MIN_NORMAL);
		boolean surprise = !this.decode.isEmpty() && (ratio > SURPRISE || ratio < 1 / SURPRISE);
		this.surprises = (surprise) ? this.surprises + 1 : 0;
		if (this.surprises >= SURPRISES_TO_FORGET) {
			this.decode.forget();
			this.prefill.forget();
			this.surprises = 0;
		}
		this.decode.add(running - 1, millisPerToken);
	}

	private void refresh() {
		double perToken = this.prefill.slope(this.speed.prefillMillisPerToken());
		double perRunning = (this.decode.isEmpty()) ? 0 : this.decode.slope(0);
		double base = (this.decode.isEmpty()) ? this.speed.decodeMillisBase() : this.decode.base(perRunning);
		this.speed = new Speed(this.prefill.base(perToken), perToken, base, perRunning);
	}

	private static double millis(Duration duration) {
		return duration.toNanos() / 1e6;
	}

}
