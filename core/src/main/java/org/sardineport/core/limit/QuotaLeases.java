package org.sardineport.core.limit;

import java.util.HashMap;
import java.util.Map;

import org.sardineport.core.identity.DaemonId;

/**
 * Divides the limit of one organisation among daemons by demand, with max-min fairness.
 * The sum of the leased rates never exceeds the limit. Times are in milliseconds of one
 * clock. Not thread-safe.
 */
public final class QuotaLeases {

	/** Validity of a leased slice, in milliseconds. */
	public static final long SLICE_MILLIS = 2 * QuotaAccount.PERIOD_MILLIS;

	private final Map<DaemonId, Lease> leases = new HashMap<>();

	private QuotaLeases() {
	}

	/**
	 * Returns an instance without leases.
	 * @return the instance
	 */
	public static QuotaLeases create() {
		return new QuotaLeases();
	}

	/**
	 * Leases a slice to a daemon. The slice covers the time since the daemon's last one,
	 * up to one period, so that frequent requests yield no more tokens.
	 * @param daemon daemon that requests the slice
	 * @param wanted tokens demanded for a period
	 * @param limit fleet-wide limit in tokens per second
	 * @param now the current time
	 * @return leased tokens
	 */
	public long lease(DaemonId daemon, long wanted, long limit, long now) {
		this.leases.values().removeIf((lease) -> lease.expiresAt <= now);
		double tokensPerPeriod = limit * QuotaAccount.PERIOD_MILLIS / 1000.0;
		Lease own = this.leases.computeIfAbsent(daemon, (key) -> new Lease(now - QuotaAccount.PERIOD_MILLIS));
		own.requested = wanted;
		double grantedToOthers = 0;
		for (Lease lease : this.leases.values()) {
			grantedToOthers += (lease != own) ? lease.granted : 0;
		}
		own.granted = Math.max(0,
				Math.min(Math.min(wanted, fairShare(tokensPerPeriod)), tokensPerPeriod - grantedToOthers));
		double elapsed = Math.min(1.0, (double) (now - own.updatedAt) / QuotaAccount.PERIOD_MILLIS);
		own.updatedAt = now;
		own.expiresAt = now + SLICE_MILLIS;
		return (long) (own.granted * elapsed);
	}

	/**
	 * Returns the max-min fair share: the largest cap such that the demands, each limited
	 * to the cap, fit into the tokens of a period.
	 * @param tokensPerPeriod tokens to divide
	 * @return the cap in tokens
	 */
	private double fairShare(double tokensPerPeriod) {
		double[] demands = this.leases.values().stream().mapToDouble((lease) -> lease.requested).sorted().toArray();
		double remaining = tokensPerPeriod;
		for (int i = 0; i < demands.length; i++) {
			double evenShare = remaining / (demands.length - i);
			if (demands[i] >= evenShare) {
				return evenShare;
			}
			remaining -= demands[i];
		}
		return tokensPerPeriod;
	}

	/**
	 * Lease of one daemon.
	 */
	private static final class Lease {

		private double requested;

		private double granted;

		private long updatedAt;

		private long expiresAt;

		Lease(long updatedAt) {
			this.updatedAt = updatedAt;
			this.expiresAt = Long.MAX_VALUE;
		}

	}

}
