package org.sardineport.core.scheduling;

import org.sardineport.core.identity.DaemonId;

/**
 * A granted permit that has not been released, as tracked by the owner. Times are
 * milliseconds of the owner's clock. Not thread-safe.
 */
final class OutstandingPermit {

	private static final long NEVER = Long.MAX_VALUE;

	private final PermitRequest permitRequest;

	private final DaemonId entry;

	private final long grantedAt;

	private final double backlogMillis;

	private final double prefillMillis;

	private final double prefillTokens;

	private final double backlogTokens;

	private final double expectedMillis;

	private final int runningAtGrant;

	private double loadAtGrant = Double.NaN;

	private boolean preempting;

	private long orphanedAt = NEVER;

	OutstandingPermit(PermitRequest permitRequest, DaemonId entry, long grantedAt, RunForecast forecast,
			int runningAtGrant) {
		this.permitRequest = permitRequest;
		this.entry = entry;
		this.grantedAt = grantedAt;
		this.backlogMillis = forecast.backlogMillis();
		this.prefillMillis = forecast.prefillMillis();
		this.prefillTokens = forecast.prefillTokens();
		this.backlogTokens = forecast.backlogTokens();
		this.expectedMillis = forecast.totalMillis();
		this.runningAtGrant = runningAtGrant;
	}

	PermitRequest permitRequest() {
		return this.permitRequest;
	}

	DaemonId entry() {
		return this.entry;
	}

	long grantedAt() {
		return this.grantedAt;
	}

	double backlogMillis() {
		return this.backlogMillis;
	}

	double prefillMillis() {
		return this.prefillMillis;
	}

	double prefillTokens() {
		return this.prefillTokens;
	}

	double backlogTokens() {
		return this.backlogTokens;
	}

	double expectedMillis() {
		return this.expectedMillis;
	}

	int runningAtGrant() {
		return this.runningAtGrant;
	}

	/**
	 * Returns the integral of the load when the permit was granted.
	 * @return the integral; not a number if another owner granted the permit
	 */
	double loadAtGrant() {
		return this.loadAtGrant;
	}

	void recordLoadAtGrant(double integral) {
		this.loadAtGrant = integral;
	}

	boolean isPreempting() {
		return this.preempting;
	}

	void markPreempting() {
		this.preempting = true;
	}

	void markOrphaned(long now) {
		this.orphanedAt = Math.min(this.orphanedAt, now);
	}

	boolean isOrphanedBefore(long instant) {
		return this.orphanedAt < instant;
	}

	boolean isTop() {
		return this.permitRequest.tier().isTop();
	}

	/**
	 * Returns the ratio of the permit's age to the expected duration of its run.
	 * @param now the current time
	 * @param graceMillis part of the age that is ignored
	 * @return the ratio; above 1 if the run takes longer than expected
	 */
	double overdueRatio(long now, long graceMillis) {
		return (now - this.grantedAt - graceMillis) / Math.max(1, this.expectedMillis);
	}

	/**
	 * Returns the prefill work that a cancellation would waste.
	 * @param now the current time
	 * @return estimated prompt tokens prefilled so far
	 */
	double wastedPrefill(long now) {
		double sincePrefill = now - this.grantedAt - this.backlogMillis;
		double share = Math.max(0, Math.min(1, sincePrefill / Math.max(1, this.prefillMillis)));
		return share * this.permitRequest.estimate().prompt();
	}

}
