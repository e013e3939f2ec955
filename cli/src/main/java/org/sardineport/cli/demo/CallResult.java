package org.sardineport.cli.demo;

import java.time.Duration;

/**
 * What a caller got for one request.
 *
 * @param item the request
 * @param ending how it ended
 * @param reason kind and outcome of a refusal, or what broke
 * @param latency from the planned time of sending to the end of the answer
 */
record CallResult(WorkItem item, Ending ending, String reason, Duration latency) {

	boolean isGood() {
		return this.ending == Ending.WHOLE && this.latency.compareTo(this.item.kind().deadline()) <= 0;
	}

	/**
	 * How a request ended for its caller.
	 */
	enum Ending {

		/** The whole answer to this request came. */
		WHOLE,
		/** A refusal with outcome not-run. */
		NOT_RUN,
		/** A refusal with outcome unknown or completed. */
		UNKNOWN,
		/** The answer ended with a notice that it is not whole. */
		BROKEN_OFF,
		/** The connection broke without a word. */
		CUT_OFF,
		/** An answer came that is not the one to this request, or not whole. */
		WRONG

	}

}
