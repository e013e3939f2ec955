package org.sardineport.core.scheduling;

import org.sardineport.core.identity.DaemonId;

/**
 * A permit that is out, as its owner counts it.
 */
final class Outstanding {

	private static final long NEVER = Long.MAX_VALUE;

	private final PermitRequest ask;

	private final DaemonId entry;

	private final long grantedAt;

	private final double backlogMillis;

	private final double prefillMillis;

	private final double prefillTokens;

	private final double backlogTokens;

	private final double expectedMillis;

	private final int runningAtGrant;

	private boolean preempting;

	private long orphanedAt = NEVER;

	Outstanding(PermitRequest ask, DaemonId entry, long grantedAt, RunForecast forecast, int runningAtGrant) {
		this.ask = ask;
		this.entry = entry;
		this.grantedAt = grantedAt;
		this.backlogMillis = forecast.backlogMillis();
		this.prefillMillis = forecast.prefillMillis();
		this.prefillTokens = forecast.prefillTokens();
		this.backlogTokens = forecast.backlogTokens();
		this.expectedMillis = forecast.totalMillis();
		this.runningAtGrant = runningAtGrant;
	}

	PermitRequest ask() {
		return this.ask;
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

	boolean isPreempting() {
		return this.preempting;
	}

	void preempt() {
		this.preempting = true;
	}

	void orphan(long now) {
		this.orphanedAt = Math.min(this.orphanedAt, now);
	}

	boolean isOrphanedBefore(long instant) {
		return this.orphanedAt < instant;
	}

	boolean isTop() {
		return this.ask.tier().isTop();
	}

	/**
	 * Returns how much longer than expected it has run so far.
	 * @param now the current time
	 * @param graceMillis time not counted
	 * @return ratio of its age to its expected duration
	 */
	double overdue(long now, long graceMillis) {
		return (now - this.grantedAt - graceMillis) / Math.max(1, this.expectedMillis);
	}

	/**
	 * Returns what a cancellation would waste.
	 * @param now the current time
	 * @return prompt tokens prefilled so far
	 */
	double wastedPrefill(long now) {
		double sincePrefill = now - this.grantedAt - this.backlogMillis;
		double share = Math.max(0, Math.min(1, sincePrefill / Math.max(1, this.prefillMillis)));
		return share * this.ask.estimate().prompt();
	}

}
