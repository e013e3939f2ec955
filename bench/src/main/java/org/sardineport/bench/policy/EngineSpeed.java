package org.sardineport.bench.policy;

/**
 * Speed of a simulated model engine, as the duration of one batch iteration.
 *
 * @param iterationMillis fixed part of the duration
 * @param sequenceMillis duration added by each decoding sequence
 * @param prefillMillisPerToken duration added by each prefilled prompt token
 */
record EngineSpeed(double iterationMillis, double sequenceMillis, double prefillMillisPerToken) {

	static final EngineSpeed FAST = new EngineSpeed(8, 0.5, 0.05);

	static final EngineSpeed SLOW = new EngineSpeed(20, 1.25, 0.125);

	/**
	 * Returns the speed of an engine by its number. Every second engine is slow.
	 * @param index number of the engine
	 * @return its speed
	 */
	static EngineSpeed of(int index) {
		return (index % 2 == 0) ? FAST : SLOW;
	}

	/**
	 * Returns the throughput of an engine with a full batch and without cache hits.
	 * @param meanPrompt mean length of a prompt, in tokens
	 * @param meanAnswer mean length of a response, in tokens
	 * @return requests per second
	 */
	double capacity(double meanPrompt, double meanAnswer) {
		double perToken = this.iterationMillis / Site.ENGINE_CONCURRENCY + this.sequenceMillis;
		return 1000 / (meanPrompt * this.prefillMillisPerToken + meanAnswer * perToken);
	}

}
