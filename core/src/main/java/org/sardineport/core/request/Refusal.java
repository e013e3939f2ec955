package org.sardineport.core.request;

import java.time.Duration;
import java.util.Objects;

import org.jspecify.annotations.Nullable;

/**
 * A refusal as its caller sees it.
 *
 * @param reason the typed reason
 * @param detail what was found, one sentence without secrets
 * @param outcome what is known of the request; usually that of the reason
 * @param retryAfter when a new try may succeed, or {@code null} if time will not help
 */
public record Refusal(RefusalReason reason, String detail, Outcome outcome, @Nullable Duration retryAfter) {

	/**
	 * Creates the refusal.
	 */
	public Refusal {
		Objects.requireNonNull(reason, "reason must not be null");
		Objects.requireNonNull(detail, "detail must not be null");
		Objects.requireNonNull(outcome, "outcome must not be null");
	}

	/**
	 * Returns a refusal that time will not mend.
	 * @param reason the reason
	 * @param detail what was found
	 * @return the refusal
	 */
	public static Refusal of(RefusalReason reason, String detail) {
		return new Refusal(reason, detail, reason.outcome(), null);
	}

	/**
	 * Returns a refusal with the time after which a new try may succeed.
	 * @param reason the reason
	 * @param detail what was found
	 * @param retryAfter the time to wait
	 * @return the refusal
	 */
	public static Refusal retryAfter(RefusalReason reason, String detail, Duration retryAfter) {
		return new Refusal(reason, detail, reason.outcome(), retryAfter);
	}

}
