package org.sardineport.bench.policy;

/**
 * Speed of a fake engine, per iteration of its continuous batch.
 *
 * @param iterationMillis time of each iteration
 * @param sequenceMillis time added by each sequence that decodes
 * @param prefillMillisPerToken time added by each prompt token
 */
record EngineSpeed(double iterationMillis, double sequenceMillis, double prefillMillisPerToken) {

	static final EngineSpeed FAST = new EngineSpeed(8, 0.5, 0.05);

	static final EngineSpeed SLOW = new EngineSpeed(20, 1.25, 0.125);

	/**
	 * Returns the speed of the engine with a number: every other one is slow.
	 * @param index number of the engine
	 * @return its speed
	 */
	static EngineSpeed of(int index) {
		return (index % 2 == 0) ? FAST : SLOW;
	}

	/**
	 * Returns how many requests a second an engine finishes with a full batch and nothing
	 * cached.
	 * @param meanPrompt mean tokens of a prompt
	 * @param meanAnswer mean tokens of an answer
	 * @return requests a second
	 */
	double capacity(double meanPrompt, double meanAnswer) {
		double perToken = this.iterationMillis / Site.ENGINE_CONCURRENCY + this.sequenceMillis;
		return 1000 / (meanPrompt * this.prefillMillisPerToken + meanAnswer * perToken);
	}

}
