package org.sardineport.daemon.exchange;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.time.Instant;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.admission.RunEnd;
import org.sardineport.core.admission.RunMeasurement;
import org.sardineport.core.exchange.AnswerMeter;
import org.sardineport.core.request.TokenEstimate;

/**
 * Measures one dispatch.
 */
final class RunMeter {

	private final Instant dispatched;

	private final TokenEstimate estimate;

	private final AnswerMeter answer = AnswerMeter.create();

	private @Nullable Duration timeToFirstByte;

	RunMeter(Instant dispatched, TokenEstimate estimate) {
		this.dispatched = dispatched;
		this.estimate = estimate;
	}

	boolean chunk(ByteBuffer bytes, Instant now) {
		boolean first = this.timeToFirstByte == null;
		if (first) {
			this.timeToFirstByte = Duration.between(this.dispatched, now);
		}
		this.answer.add(bytes);
		return first;
	}

	int promptTokens() {
		int reported = this.answer.promptTokens();
		return (reported > 0) ? reported : this.estimate.prompt();
	}

	RunMeasurement measurement(RunEnd end, Instant now) {
		return new RunMeasurement(end, promptTokens(), this.answer.cachedPromptTokens(), this.answer.answerTokens(),
				this.timeToFirstByte, Duration.between(this.dispatched, now));
	}

}
