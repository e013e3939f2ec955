package org.sardineport.core.scheduling;

/**
 * Expected course of a run.
 *
 * @param backlogTokens tokens of earlier prompts that are not prefilled
 * @param prefillTokens tokens of its own prompt that are not cached
 * @param backlogMillis time until earlier prompts are prefilled
 * @param prefillMillis time to prefill its own prompt
 * @param decodeMillis time to generate its answer
 */
record RunForecast(double backlogTokens, double prefillTokens, double backlogMillis, double prefillMillis,
		double decodeMillis) {

	double totalMillis() {
		return this.backlogMillis + this.prefillMillis + this.decodeMillis;
	}

}
