package org.sardineport.daemon.relay;

import org.sardineport.core.identity.PoolName;

/**
 * Charges the retries of one request to the fleet's retry budget. Confined to the event
 * loop.
 */
final class RetryCharge {

	private final RelayServices services;

	private final PoolName pool;

	private long spentAtMillis;

	RetryCharge(RelayServices services, PoolName pool) {
		this.services = services;
		this.pool = pool;
	}

	/**
	 * Records the request, which adds to the budget.
	 */
	void requested() {
		this.services.retryAllowance().requested(this.pool, this.services.clock().millis());
	}

	/**
	 * Charges a retry.
	 * @return {@code false} if the budget is spent
	 */
	boolean trySpend() {
		int daemons = Math.max(1, this.services.fleet().current().members().size());
		this.spentAtMillis = this.services.clock().millis();
		return this.services.retryAllowance().trySpend(this.pool, daemons, this.spentAtMillis);
	}

	/**
	 * Refunds the last retry, which did not reach a backend server.
	 */
	void refund() {
		this.services.retryAllowance().refund(this.pool, this.spentAtMillis, this.services.clock().millis());
	}

}
