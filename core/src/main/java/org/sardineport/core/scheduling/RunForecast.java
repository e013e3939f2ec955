package org.sardineport.core.scheduling;

/**
 * Expected course of a run.
 *
 * @param backlogMillis time until earlier prompts are prefilled
 * @param prefillMillis time to prefill its own prompt
 * @param decodeMillis time to generate its answer
 */
record RunForecast(double backlogMillis, double prefillMillis, double decodeMillis) {

	double totalMillis() {
		return this.backlogMillis + this.prefillMillis + this.decodeMillis;
	}

}
