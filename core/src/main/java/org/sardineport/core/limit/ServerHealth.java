package org.sardineport.core.limit;

/**
 * Circuit breaker of one backend server. It isolates the backend server after consecutive
 * failures and then admits one probe at a time until a probe succeeds. Times are in
 * milliseconds of one clock. Not thread-safe.
 */
public final class ServerHealth {

	/** Number of consecutive failures that isolate the backend server. */
	private static final int FAILURES_TO_ISOLATE = 3;

	/** Number of consecutive error responses that count as one failure. */
	private static final int REJECTIONS_PER_FAILURE = 2;

	/** Initial isolation period in milliseconds; it doubles with each failed probe. */
	private static final long INITIAL_ISOLATION_MILLIS = 1000;

	/** Maximum isolation period in milliseconds. */
	private static final long MAX_ISOLATION_MILLIS = 30_000;

	/** Time in milliseconds after which a due probe is overdue. */
	private static final long PROBE_OVERDUE_MILLIS = 1000;

	private int consecutiveFailures;

	private int consecutiveRejections;

	private long isolationMillis;

	private long probeDueAt;

	private boolean probeRunning;

	private ServerHealth() {
	}

	/**
	 * Returns the health of a backend server that is not isolated and has no failures.
	 * @return the health
	 */
	public static ServerHealth create() {
		return new ServerHealth();
	}

	/**
	 * Returns whether only probes are admitted.
	 * @return whether the backend server is isolated
	 */
	public boolean isIsolated() {
		return this.isolationMillis > 0;
	}

	/**
	 * Returns whether a run may start now. A run that starts during an isolation is the
	 * probe.
	 * @param now the current time
	 * @return whether the backend server is not isolated, or a probe is due and none is
	 * running
	 */
	public boolean mayRun(long now) {
		return !isIsolated() || (!this.probeRunning && now >= this.probeDueAt);
	}

	/**
	 * Returns the time until a probe is due.
	 * @param now the current time
	 * @return milliseconds; 0 if the isolation period has passed or the backend server is
	 * not isolated
	 */
	public long millisUntilProbe(long now) {
		return isIsolated() ? Math.max(0, this.probeDueAt - now) : 0;
	}

	/**
	 * Returns whether a probe has been due for so long that no request suitable as a
	 * probe is likely to arrive.
	 * @param now the current time
	 * @return whether any request may be used as the probe
	 */
	public boolean isProbeOverdue(long now) {
		return isIsolated() && mayRun(now) && now - this.probeDueAt >= PROBE_OVERDUE_MILLIS;
	}

	/**
	 * Records the start of a run.
	 */
	public void runStarted() {
		this.probeRunning = isIsolated();
	}

	/**
	 * Records a successful run, which ends an isolation and resets the failure counts.
	 */
	public void runSucceeded() {
		this.consecutiveFailures = 0;
		this.consecutiveRejections = 0;
		this.isolationMillis = 0;
		this.probeRunning = false;
	}

	/**
	 * Records a run that ended without evidence about the backend server's health. After
	 * a probe, another one may start.
	 */
	public void runInconclusive() {
		this.probeRunning = false;
	}

	/**
	 * Records a run to which the backend server returned an error response. It counts
	 * less than a time-out or a broken connection, as the backend server may fail only
	 * some of its requests. The failure of a probe counts in full.
	 * @param now the current time
	 */
	public void runRejected(long now) {
		this.consecutiveRejections++;
		if ((isIsolated() && this.probeRunning) || this.consecutiveRejections % REJECTIONS_PER_FAILURE == 0) {
			runFailed(now);
		}
	}

	/**
	 * Records a run that failed on the backend server. It doubles the isolation period if
	 * the run was the probe, and isolates the backend server after enough consecutive
	 * failures.
	 * @param now the current time
	 */
	public void runFailed(long now) {
		this.consecutiveFailures++;
		if (isIsolated() && this.probeRunning) {
			isolate(now, Math.min(this.isolationMillis * 2, MAX_ISOLATION_MILLIS));
		}
		else if (!isIsolated() && this.consecutiveFailures >= FAILURES_TO_ISOLATE) {
			isolate(now, INITIAL_ISOLATION_MILLIS);
		}
	}

	/**
	 * Isolates the backend server at once, as its runs stall. Has no effect during an
	 * isolation.
	 * @param now the current time
	 */
	public void runsStalled(long now) {
		if (!isIsolated()) {
			isolate(now, INITIAL_ISOLATION_MILLIS);
		}
	}

	private void isolate(long now, long millis) {
		this.isolationMillis = millis;
		this.probeDueAt = now + millis;
		this.probeRunning = false;
	}

}
