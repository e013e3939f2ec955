package org.sardineport.daemon.exchange;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.time.Instant;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.admission.RunEnd;
import org.sardineport.core.admission.RunMeasurement;
import org.sardineport.core.exchange.ResponseTokenMeter;
import org.sardineport.core.request.TokenEstimate;

/**
 * Measures one exchange: tokens, time to first byte and duration. Used on the run's
 * executor only.
 */
final class RunMeter {

	private final Instant dispatched;

	private final TokenEstimate estimate;

	private final ResponseTokenMeter responseMeter = ResponseTokenMeter.create();

	private final boolean resumed;

	private @Nullable Duration timeToFirstByte;

	private RunMeter(Instant dispatched, TokenEstimate estimate, boolean resumed) {
		this.dispatched = dispatched;
		this.estimate = estimate;
		this.resumed = resumed;
	}

	static RunMeter dispatched(Instant dispatched, TokenEstimate estimate) {
		return new RunMeter(dispatched, estimate, false);
	}

	/**
	 * Creates the meter of a stream that resumes from its imported cache. Its prompt
	 * tokens count as cached, since there is no prefill.
	 * @param resumed time at which it resumes
	 * @param estimate estimated size of the request, used until the engine reports its
	 * tokens
	 * @return the meter
	 */
	static RunMeter resumed(Instant resumed, TokenEstimate estimate) {
		return new RunMeter(resumed, estimate, true);
	}

	boolean chunk(ByteBuffer bytes, Instant now) {
		boolean first = this.timeToFirstByte == null;
		if (first) {
			this.timeToFirstByte = Duration.between(this.dispatched, now);
		}
		this.responseMeter.add(bytes);
		return first;
	}

	int promptTokens() {
		int reported = this.responseMeter.promptTokens();
		return (reported > 0) ? reported : this.estimate.prompt();
	}

	RunMeasurement measurement(RunEnd end, Instant now) {
		int cached = (this.resumed) ? promptTokens() : this.responseMeter.cachedPromptTokens();
		return new RunMeasurement(end, promptTokens(), cached, this.responseMeter.answerTokens(), this.timeToFirstByte,
				Duration.between(this.dispatched, now));
	}

}
