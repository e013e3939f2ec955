package org.sardineport.core.limit;

import java.util.HashMap;
import java.util.Map;

import org.sardineport.core.identity.DaemonId;

/**
 * Shares one organisation's limit out among daemons, by demand and max-min fair. The
 * rates leased at any time never exceed the limit. Times are milliseconds of one clock.
 * Not safe for use by several threads.
 */
public final class QuotaLeases {

	/** Time for which a slice may be spent, in milliseconds. */
	public static final long SLICE_MILLIS = 2 * QuotaAccount.PERIOD_MILLIS;

	private final Map<DaemonId, Lease> leases = new HashMap<>();

	private QuotaLeases() {
	}

	/**
	 * Returns a register without leases.
	 * @return the register
	 */
	public static QuotaLeases create() {
		return new QuotaLeases();
	}

	/**
	 * Leases a slice.
	 * @param daemon who asks
	 * @param wanted tokens wanted for a period
	 * @param limit fleet-wide limit in tokens a second
	 * @param now the current time
	 * @return tokens leased
	 */
	public long lease(DaemonId daemon, long wanted, long limit, long now) {
		this.leases.values().removeIf((lease) -> lease.until <= now);
		double period = limit * QuotaAccount.PERIOD_MILLIS / 1000.0;
		Lease own = this.leases.computeIfAbsent(daemon, (key) -> new Lease(now - QuotaAccount.PERIOD_MILLIS));
		own.wanted = wanted;
		double others = 0;
		for (Lease lease : this.leases.values()) {
			others += (lease != own) ? lease.granted : 0;
		}
		own.granted = Math.max(0, Math.min(Math.min(wanted, fairShare(period)), period - others));
		double elapsed = Math.min(1.0, (double) (now - own.at) / QuotaAccount.PERIOD_MILLIS);
		own.at = now;
		own.until = now + SLICE_MILLIS;
		return (long) (own.granted * elapsed);
	}

	/**
	 * Returns the largest share that all may have when each gets what it wants up to it.
	 * @param period tokens to share out
	 * @return the share in tokens
	 */
	private double fairShare(double period) {
		double[] wants = this.leases.values().stream().mapToDouble((lease) -> lease.wanted).sorted().toArray();
		double left = period;
		for (int i = 0; i < wants.length; i++) {
			double even = left / (wants.length - i);
			if (wants[i] >= even) {
				return even;
			}
			left -= wants[i];
		}
		return period;
	}

	/**
	 * What one daemon holds.
	 */
	private static final class Lease {

		private double wanted;

		private double granted;

		private long at;

		private long until;

		Lease(long at) {
			this.at = at;
			this.until = Long.MAX_VALUE;
		}

	}

}
