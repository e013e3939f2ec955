package org.sardineport.core.limit;

/**
 * Isolates a backend server that fails, and lets single probes through until one
 * succeeds. Times are milliseconds of one clock. Not safe for use by several threads.
 */
public final class ServerHealth {

	/** Failures in a row that isolate. */
	private static final int FAILURES_TO_ISOLATE = 3;

	/** Failures that it answered itself, in a row, that count as one other failure. */
	private static final int REJECTIONS_A_FAILURE = 2;

	/** First time of isolation, in milliseconds; doubles with each failed probe. */
	private static final long FIRST_ISOLATION_MILLIS = 1000;

	/** Longest time of isolation, in milliseconds. */
	private static final long LONGEST_ISOLATION_MILLIS = 30_000;

	/** Time after which a probe that was due is overdue, in milliseconds. */
	private static final long OVERDUE_MILLIS = 1000;

	private int failures;

	private int rejections;

	private long isolationMillis;

	private long probeFrom;

	private boolean probing;

	private ServerHealth() {
	}

	/**
	 * Returns the health of a backend server that is taken to be well.
	 * @return the health
	 */
	public static ServerHealth create() {
		return new ServerHealth();
	}

	/**
	 * Returns whether only probes may run.
	 * @return whether the backend server is isolated
	 */
	public boolean isIsolated() {
		return this.isolationMillis > 0;
	}

	/**
	 * Returns whether a run may begin now. One that begins while isolated is the probe.
	 * @param now the current time
	 * @return whether the backend server is well, or a probe is due
	 */
	public boolean mayRun(long now) {
		return !isIsolated() || (!this.probing && now >= this.probeFrom);
	}

	/**
	 * Returns the time until a probe is due.
	 * @param now the current time
	 * @return milliseconds, 0 if the backend server is well
	 */
	public long millisUntilProbe(long now) {
		return isIsolated() ? Math.max(0, this.probeFrom - now) : 0;
	}

	/**
	 * Returns whether a probe has been due for so long that no request fit for it seems
	 * to come.
	 * @param now the current time
	 * @return whether any request may be the probe
	 */
	public boolean isProbeOverdue(long now) {
		return isIsolated() && mayRun(now) && now - this.probeFrom >= OVERDUE_MILLIS;
	}

	/**
	 * A run begins.
	 */
	public void began() {
		this.probing = isIsolated();
	}

	/**
	 * A run succeeded, which ends an isolation.
	 */
	public void succeeded() {
		this.failures = 0;
		this.rejections = 0;
		this.isolationMillis = 0;
		this.probing = false;
	}

	/**
	 * A run ended without saying anything of the backend server.
	 */
	public void ended() {
		this.probing = false;
	}

	/**
	 * Notes that it answered a run with a failure of its own. It may fail a part of its
	 * requests only, so that this says less than silence or a broken connection.
	 * @param now the current time
	 */
	public void rejected(long now) {
		this.rejections++;
		if ((isIsolated() && this.probing) || this.rejections % REJECTIONS_A_FAILURE == 0) {
			failed(now);
		}
	}

	/**
	 * A run failed on the backend server's side.
	 * @param now the current time
	 */
	public void failed(long now) {
		this.failures++;
		if (isIsolated() && this.probing) {
			isolate(now, Math.min(this.isolationMillis * 2, LONGEST_ISOLATION_MILLIS));
		}
		else if (!isIsolated() && this.failures >= FAILURES_TO_ISOLATE) {
			isolate(now, FIRST_ISOLATION_MILLIS);
		}
	}

	/**
	 * Runs stall: the backend server is isolated at once.
	 * @param now the current time
	 */
	public void stalled(long now) {
		if (!isIsolated()) {
			isolate(now, FIRST_ISOLATION_MILLIS);
		}
	}

	private void isolate(long now, long millis) {
		this.isolationMillis = millis;
		this.probeFrom = now + millis;
		this.probing = false;
	}

}
