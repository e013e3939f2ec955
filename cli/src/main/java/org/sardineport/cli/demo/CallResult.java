package org.sardineport.cli.demo;

import java.time.Duration;

/**
 * Result of one request as observed by its caller.
 *
 * @param item the request
 * @param outcome outcome of the request
 * @param reason kind and outcome of a refusal, or the cause of a failure; empty otherwise
 * @param latency time from the planned sending to the end of the response
 */
record CallResult(WorkItem item, Outcome outcome, String reason, Duration latency) {

	boolean isGood() {
		return this.outcome == Outcome.COMPLETE && this.latency.compareTo(this.item.kind().deadline()) <= 0;
	}

	/**
	 * Outcome of a request for its caller.
	 */
	enum Outcome {

		/** The complete response to this request was received. */
		COMPLETE,
		/** The request was refused with outcome not-run, or no address was reachable. */
		NOT_RUN,
		/** The request was refused with another outcome than not-run. */
		UNKNOWN,
		/** The response was aborted with an error event. */
		ABORTED,
		/** The connection was closed without an error event. */
		CONNECTION_LOST,
		/** The response is incomplete or does not belong to this request. */
		INCORRECT

	}

}
