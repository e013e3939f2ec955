package org.sardineport.core.routing;

import java.time.Duration;

import org.sardineport.core.admission.RunMeasurement;

/**
 * Learns the speed of one backend server from finished runs. Decode time per token is
 * fitted as a line over concurrency with exponential forgetting. Not safe for use by
 * several threads.
 */
public final class SpeedModel {

	/** Share of a new prefill sample once several were seen. */
	private static final double PREFILL_WEIGHT = 0.1;

	/** Samples after which the first estimate counts as settled. */
	private static final int SETTLED_SAMPLES = 5;

	/** Prompts with fewer uncached tokens say more about the network than the engine. */
	private static final int SMALLEST_PROMPT = 64;

	/** Answers with fewer tokens are too short to time. */
	private static final int SMALLEST_ANSWER = 4;

	/** Weight that older decode samples keep for each new one. */
	private static final double DECODE_MEMORY = 0.95;

	/** Least variance of the concurrency for which a slope is fitted. */
	private static final double LEAST_VARIANCE = 0.5;

	/** Ratio of measured to expected beyond which a sample counts as a surprise. */
	private static final double SURPRISE = 2.0;

	/** Surprises in a row after which old samples are forgotten. */
	private static final int SURPRISES_TO_FORGET = 3;

	private double prefillMillisPerToken = Speed.UNKNOWN.prefillMillisPerToken();

	private int prefillSamples;

	private double weight;

	private double sumRunning;

	private double sumMillis;

	private double sumRunningSquared;

	private double sumProduct;

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
	 * @param backlogMillis prefill backlog of the backend server when the run began
	 */
	public void observe(RunMeasurement measurement, double running, double backlogMillis) {
		Duration first = measurement.timeToFirstToken();
		if (first == null) {
			return;
		}
		observePrefill(measurement.promptTokens() - measurement.cachedPromptTokens(), millis(first), backlogMillis);
		double decode = millis(measurement.duration()) - millis(first);
		if (measurement.answerTokens() >= SMALLEST_ANSWER) {
			observeDecode(decode / (measurement.answerTokens() - 1), running);
		}
		refresh();
	}

	private void observePrefill(int tokens, double millis, double backlogMillis) {
		if (tokens < SMALLEST_PROMPT) {
			return;
		}
		double own = Math.max(millis - backlogMillis, millis / 4);
		double sample = own / tokens;
		double share = (this.prefillSamples < SETTLED_SAMPLES) ? 1.0 / (this.prefillSamples + 1) : PREFILL_WEIGHT;
		this.prefillMillisPerToken += share * (sample - this.prefillMillisPerToken);
		this.prefillSamples++;
	}

	private void observeDecode(double millisPerToken, double running) {
		double ratio = millisPerToken / this.speed.decodeMillis(1, (int) Math.round(running));
		this.surprises = (this.weight > 0 && (ratio > SURPRISE || ratio < 1 / SURPRISE)) ? this.surprises + 1 : 0;
		double memory = DECODE_MEMORY;
		if (this.surprises >= SURPRISES_TO_FORGET) {
			memory = 0;
			this.surprises = 0;
		}
		this.weight = this.weight * memory + 1;
		this.sumRunning = this.sumRunning * memory + running;
		this.sumMillis = this.sumMillis * memory + millisPerToken;
		this.sumRunningSquared = this.sumRunningSquared * memory + running * running;
		this.sumProduct = this.sumProduct * memory + running * millisPerToken;
	}

	private void refresh() {
		if (this.weight == 0) {
			this.speed = new Speed(this.prefillMillisPerToken, this.speed.decodeMillisBase(), 0);
			return;
		}
		double meanRunning = this.sumRunning / this.weight;
		double meanMillis = this.sumMillis / this.weight;
		double variance = this.sumRunningSquared / this.weight - meanRunning * meanRunning;
		double slope = 0;
		if (variance > LEAST_VARIANCE) {
			slope = (this.sumProduct / this.weight - meanRunning * meanMillis) / variance;
			slope = Math.max(0, Math.min(slope, meanMillis / Math.max(meanRunning, 1)));
		}
		double base = Math.max(0, meanMillis - slope * Math.max(0, meanRunning - 1));
		this.speed = new Speed(this.prefillMillisPerToken, base, slope);
	}

	private static double millis(Duration duration) {
		return duration.toNanos() / 1e6;
	}

}
