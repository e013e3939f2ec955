package org.sardineport.core.rollout;

/**
 * Cumulative sum test (CUSUM) of whether the share of events among samples has risen from
 * a usual to a faulty one. It also finds a rise that comes late, as earlier samples count
 * for no more than the start. Not thread-safe.
 */
final class CumulativeTest {

	/**
	 * Evidence at which the faulty share is taken for certain: a likelihood ratio of
	 * about 3,000 to 1.
	 */
	static final double CERTAIN = 8;

	private double evidence;

	private int events;

	private int samples;

	/**
	 * Adds samples.
	 * @param newEvents number of events among them
	 * @param newSamples number of samples
	 * @param usual usual share of events, above 0
	 * @param faulty share of events in case of a fault, above the usual one and below 1
	 */
	void add(int newEvents, int newSamples, double usual, double faulty) {
		double gain = Math.log(faulty / usual);
		double loss = Math.log((1 - usual) / (1 - faulty));
		this.events += newEvents;
		this.samples += newSamples;
		this.evidence = Math.max(0, this.evidence + newEvents * gain - (newSamples - newEvents) * loss);
	}

	boolean isCertain() {
		return this.evidence >= CERTAIN;
	}

	double evidence() {
		return this.evidence;
	}

	int events() {
		return this.events;
	}

	int samples() {
		return this.samples;
	}

}
