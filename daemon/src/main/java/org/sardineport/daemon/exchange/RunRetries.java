package org.sardineport.daemon.exchange;

import java.time.Duration;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.request.Refusal;
import org.sardineport.core.request.RefusalReason;
import org.sardineport.core.request.RetryReason;

/**
 * Bounds the retries of one run by number and by the daemon's budget. Touched on the
 * run's executor only.
 */
final class RunRetries {

	private static final int MAXIMUM = 3;

	private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

	private final RunServices services;

	private int taken;

	RunRetries(RunServices services) {
		this.services = services;
	}

	/**
	 * Takes and counts one retry.
	 * @param reason why
	 * @param otherwise what to tell if there were too many
	 * @return {@code null} if the run may try again, else what to tell
	 */
	@Nullable Refusal take(RetryReason reason, Refusal otherwise) {
		if (this.taken >= MAXIMUM) {
			return otherwise;
		}
		if (!this.services.retryBudget().trySpend()) {
			return Refusal.retryAfter(RefusalReason.RETRY_BUDGET_SPENT, otherwise.detail(), RETRY_AFTER);
		}
		this.taken++;
		this.services.telemetry().retried(reason).inc();
		return null;
	}

}
