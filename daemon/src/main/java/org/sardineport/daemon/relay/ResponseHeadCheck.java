package org.sardineport.daemon.relay;

import java.util.List;

import io.vertx.core.MultiMap;
import org.jspecify.annotations.Nullable;
import org.sardineport.core.relay.AttemptEnd;
import org.sardineport.core.relay.ResponseHead;

/**
 * Checks by its head whether a response answers the request of an attempt and may be
 * passed on.
 */
final class ResponseHeadCheck {

	private final AttemptPlan plan;

	ResponseHeadCheck(AttemptPlan plan) {
		this.plan = plan;
	}

	/**
	 * Returns what ends the attempt at the head of the response.
	 * @param head the head
	 * @param headers all its headers
	 * @param mayContinueStream whether the body may be a part of an event stream
	 * @return the failure, or {@code null} if the rest of the response is awaited
	 */
	@Nullable AttemptFailure check(ResponseHead head, MultiMap headers, boolean mayContinueStream) {
		if (!isAnswer(head)) {
			return new AttemptFailure(AttemptEnd.INVALID, "the answer is to request " + head.requestId());
		}
		if (head.notExecuted()) {
			return new AttemptFailure(AttemptEnd.NOT_EXECUTED, "status " + head.status());
		}
		if (!isEndCertain(headers)) {
			return new AttemptFailure(AttemptEnd.INVALID, "the answer has another transfer encoding than chunked");
		}
		if (!head.isIntact()) {
			return new AttemptFailure(AttemptEnd.INVALID,
					"the answer with status " + head.status() + " is not signed, not final, or encoded");
		}
		if (needsStream(head) && !mayContinueStream) {
			return new AttemptFailure(AttemptEnd.FAILED,
					"status " + head.status() + " in place of the rest of a stream");
		}
		return null;
	}

	/**
	 * Returns whether the response is to the request of the attempt.
	 * @param head the head
	 * @return {@code false} also if it names no request
	 */
	boolean isAnswer(ResponseHead head) {
		return this.plan.requestId().equals(head.requestId());
	}

	private static boolean isEndCertain(MultiMap headers) {
		List<String> encodings = headers.getAll("Transfer-Encoding");
		return encodings.isEmpty() || (encodings.size() == 1 && encodings.get(0).equalsIgnoreCase("chunked"));
	}

	// Errors of a request that takes a stream up are its caller's; a success without the
	// rest would end the stream.
	private boolean needsStream(ResponseHead head) {
		return this.plan.isResumed() || (this.plan.isTakenUp() && head.isSuccess());
	}

}
