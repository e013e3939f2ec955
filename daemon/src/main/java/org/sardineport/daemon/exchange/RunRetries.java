package org.sardineport.daemon.exchange;

import java.time.Duration;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.request.Refusal;
import org.sardineport.core.request.RefusalReason;
import org.sardineport.core.request.RetryReason;

/**
 * Limits the retries of one run, both by count and by the retry budget of the daemon.
 * Used on the run's executor only.
 */
final class RunRetries {

	private static final int MAX_RETRIES = 3;

	private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

	private final RunServices services;

	private int used;

	RunRetries(RunServices services) {
		this.services = services;
	}

	/**
	 * Takes one retry from the run's count and the daemon's budget, if both have one
	 * left.
	 * @param reason the reason for the retry
	 * @param fallback the refusal if the run has used all its retries; if the budget is
	 * spent, its detail is kept
	 * @return {@code null} if the run may retry, else the refusal to send
	 */
	@Nullable Refusal take(RetryReason reason, Refusal fallback) {
		if (this.used >= MAX_RETRIES) {
			return fallback;
		}
		if (!this.services.retryBudget().trySpend()) {
			return Refusal.retryAfter(RefusalReason.RETRY_BUDGET_SPENT, fallback.detail(), RETRY_AFTER);
		}
		this.used++;
		this.services.telemetry().retried(reason).inc();
		return null;
	}

}
