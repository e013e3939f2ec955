package org.sardineport.core.scheduling;

/**
 * Forecast of a run on a backend server. Times are in milliseconds.
 *
 * @param backlogTokens tokens of earlier prompts that remain to be prefilled
 * @param prefillTokens uncached tokens of the run's own prompt
 * @param backlogMillis time until earlier prompts are prefilled
 * @param prefillMillis time to prefill the run's own prompt
 * @param decodeMillis time to generate the answer
 */
record RunForecast(double backlogTokens, double prefillTokens, double backlogMillis, double prefillMillis,
		double decodeMillis) {

	double totalMillis() {
		return this.backlogMillis + this.prefillMillis + this.decodeMillis;
	}

}
