package org.sardineport.core.request;

import java.time.Duration;
import java.util.Objects;

import org.jspecify.annotations.Nullable;

/**
 * A refusal of a request, as reported to its caller.
 *
 * @param reason the reason, which fixes status and remedy
 * @param detail description of this case in one sentence, without secrets
 * @param outcome what is known about the request's execution; usually that of the reason
 * @param retryAfter delay after which a retry may succeed, or {@code null} if waiting
 * does not help
 */
public record Refusal(RefusalReason reason, String detail, Outcome outcome, @Nullable Duration retryAfter) {

	/**
	 * Creates the refusal; all values except {@code retryAfter} are mandatory.
	 */
	public Refusal {
		Objects.requireNonNull(reason, "reason must not be null");
		Objects.requireNonNull(detail, "detail must not be null");
		Objects.requireNonNull(outcome, "outcome must not be null");
	}

	/**
	 * Returns a refusal without a retry delay, as waiting does not help.
	 * @param reason the reason
	 * @param detail description of this case
	 * @return the refusal, with the outcome of its reason
	 */
	public static Refusal of(RefusalReason reason, String detail) {
		return new Refusal(reason, detail, reason.outcome(), null);
	}

	/**
	 * Returns a refusal with the delay after which a retry may succeed.
	 * @param reason the reason
	 * @param detail description of this case
	 * @param retryAfter the delay
	 * @return the refusal, with the outcome of its reason
	 */
	public static Refusal retryAfter(RefusalReason reason, String detail, Duration retryAfter) {
		return new Refusal(reason, detail, reason.outcome(), retryAfter);
	}

}
