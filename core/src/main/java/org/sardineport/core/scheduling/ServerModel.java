package org.sardineport.core.scheduling;

import java.util.Arrays;

import org.sardineport.core.admission.RunEnd;
import org.sardineport.core.admission.RunMeasurement;
import org.sardineport.core.backend.BackendServer;
import org.sardineport.core.limit.AdaptiveLimit;
import org.sardineport.core.limit.ServerHealth;
import org.sardineport.core.request.TokenEstimate;
import org.sardineport.core.routing.PrefixMemory;
import org.sardineport.core.routing.ServerState;
import org.sardineport.core.routing.Speed;
import org.sardineport.core.routing.SpeedModel;

/**
 * What an owner has learned of its backend server: speed, cache, limit and health. Not
 * safe for use by several threads.
 */
final class ServerModel {

	/** Share of a new run in the mean duration. */
	private static final double SERVICE_WEIGHT = 0.1;

	/** Mean duration assumed until a run was measured, in milliseconds. */
	private static final double UNKNOWN_SERVICE_MILLIS = 200;

	/** Age of a run that is never called overdue, in milliseconds. */
	private static final long OVERDUE_GRACE_MILLIS = 250;

	/** Ratio of age to expected duration from which runs show a slow backend server. */
	private static final double SLOW = 2;

	/** Ratio from which the backend server is isolated. */
	private static final double STALLED = 6;

	/** Least time for a prompt token, so that a backlog drains in finite time. */
	private static final double LEAST_MILLIS_PER_TOKEN = 1e-3;

	/** Mean time until a place becomes free for which no headroom is kept. */
	private static final double SHORT_WAIT_MILLIS = 100;

	/** Idle time after which a learned slowness is trusted less and less. */
	private static final double TRUST_MILLIS = 5000;

	/** Least trust, as a factor on learned times. */
	private static final double LEAST_TRUST = 0.05;

	private static final long NEVER = Long.MAX_VALUE;

	private final BackendServer server;

	private final SpeedModel speed = SpeedModel.create();

	private final PrefixMemory prefixes;

	private final AdaptiveLimit limit;

	private final boolean roughEstimates;

	private final ServerHealth health = ServerHealth.create();

	private double backlog;

	private long backlogAt;

	private double outstandingTokens;

	private double serviceMillis = UNKNOWN_SERVICE_MILLIS;

	private boolean measured;

	private double slowness = 1;

	private long idleSince = NEVER;

	ServerModel(BackendServer server, EngineAssumptions assumptions) {
		this.server = server;
		this.roughEstimates = assumptions.roughEstimates();
		this.limit = assumptions.concurrency().limitOf(server.nominalConcurrency());
		this.prefixes = PrefixMemory.assuming(assumptions.hitShare());
	}

	/**
	 * Forgets what runs, but not what was learned.
	 */
	void ownedAgain() {
		this.backlog = 0;
		this.outstandingTokens = 0;
		this.slowness = 1;
		this.health.ended();
	}

	BackendServer server() {
		return this.server;
	}

	AdaptiveLimit limit() {
		return this.limit;
	}

	/**
	 * Returns the limit below the top tier. It leaves headroom, but for backend servers
	 * whose places become free so fast that the top tier can wait for one.
	 * @param now the current time
	 * @return requests at once
	 */
	int lowerTierLimit(long now) {
		boolean fast = this.measured && serviceMillis(now) / this.limit.limit() < SHORT_WAIT_MILLIS;
		return (fast) ? this.limit.limit() : this.limit.lowerTierLimit();
	}

	ServerHealth health() {
		return this.health;
	}

	double serviceMillis(long now) {
		return this.serviceMillis * factor(now);
	}

	/**
	 * Returns the factor on learned times: more while runs are overdue, less while the
	 * backend server idles, so that one which was slow is tried again.
	 * @param now the current time
	 * @return the factor; 1 if learned times hold as they are
	 */
	private double factor(long now) {
		if (this.idleSince == NEVER || now - this.idleSince < TRUST_MILLIS) {
			return this.slowness;
		}
		return Math.max(LEAST_TRUST, Math.pow(0.5, (now - this.idleSince) / TRUST_MILLIS - 1));
	}

	/**
	 * Returns the expected course of a run that begins now.
	 * @param ask the request
	 * @param running requests that run beside each other, this one included
	 * @param now the current time
	 * @return the forecast
	 */
	RunForecast forecast(PermitRequest ask, int running, long now) {
		Speed current = speed(now);
		TokenEstimate estimate = ask.estimate();
		if (estimate.total() == 0) {
			return new RunForecast(0, 0, 0, 0, (this.measured) ? serviceMillis(now) : 0);
		}
		double uncached = estimate.prompt() * (1 - this.prefixes.cachedShare(ask.prefixHash()));
		double backlog = backlogTokens(now);
		return new RunForecast(backlog, uncached, backlog * current.prefillMillisPerToken(),
				current.prefillMillis(uncached), current.decodeMillis(estimate.answer(), running));
	}

	/**
	 * Returns the prompt tokens that are still to be prefilled: those granted, drained at
	 * the learned speed, and never more than those of the permits that are out.
	 * @param now the current time
	 * @return tokens
	 */
	private double backlogTokens(long now) {
		double drained = (now - this.backlogAt) / Math.max(speed(now).prefillMillisPerToken(), LEAST_MILLIS_PER_TOKEN);
		return Math.max(0, Math.min(this.backlog - drained, this.outstandingTokens));
	}

	/**
	 * Returns the expected course of a run that begins now on a backend server that
	 * becomes full.
	 * @param ask the request
	 * @param now the current time
	 * @return the forecast
	 */
	RunForecast forecastFull(PermitRequest ask, long now) {
		return forecast(ask, this.server.nominalConcurrency(), now);
	}

	private Speed speed(long now) {
		return this.speed.speed().times(factor(now));
	}

	void began(Outstanding out, long now) {
		this.health.began();
		this.idleSince = NEVER;
		this.prefixes.used(out.ask().prefixHash());
		this.outstandingTokens += out.prefillTokens();
		this.backlog = backlogTokens(now) + out.prefillTokens();
		this.backlogAt = now;
	}

	void ended(Outstanding out, RunMeasurement reported, int runningNow, long now) {
		RunMeasurement measurement = reported.withExpectedCache((int) out.prefillTokens());
		this.outstandingTokens = (runningNow <= 1) ? 0 : Math.max(0, this.outstandingTokens - out.prefillTokens());
		this.idleSince = (runningNow <= 1) ? now : NEVER;
		if (measurement.end() == RunEnd.COMPLETED) {
			completed(out, measurement, runningNow);
		}
		else if (measurement.end() == RunEnd.TIMED_OUT) {
			timedOut(out, measurement, now);
		}
		else if (measurement.end() == RunEnd.REJECTED) {
			this.limit.failed();
			this.health.rejected(now);
		}
		else if (measurement.end().isBackendFailure()) {
			this.limit.failed();
			this.health.failed(now);
		}
		else {
			this.health.ended();
		}
		if (measurement.end() == RunEnd.UNUSED || measurement.end() == RunEnd.NOT_CONNECTED) {
			this.backlog = Math.max(0, backlogTokens(now) - out.prefillTokens());
			this.backlogAt = now;
		}
	}

	private void timedOut(Outstanding out, RunMeasurement measurement, long now) {
		this.limit.observe(measurement.duration().toMillis(), out.expectedMillis());
		boolean stalled = measurement.duration().toMillis() > STALLED * Math.max(1, out.expectedMillis());
		if (measurement.timeToFirstToken() == null && (stalled || this.roughEstimates)) {
			this.health.failed(now);
		}
		else {
			this.health.ended();
		}
	}

	private void completed(Outstanding out, RunMeasurement measurement, int runningNow) {
		this.health.succeeded();
		double millis = measurement.duration().toNanos() / 1e6;
		double meanRunning = (out.runningAtGrant() + runningNow) / 2.0;
		if (this.server.nominalConcurrency() > 1 && measurement.timeToFirstToken() != null) {
			double uncached = measurement.promptTokens() - measurement.cachedPromptTokens();
			Speed learned = this.speed.speed();
			double expected = out.backlogMillis() + learned.prefillMillis(uncached)
					+ learned.decodeMillis(measurement.answerTokens(), (int) Math.round(meanRunning));
			if (this.measured && measurement.promptTokens() > 0) {
				this.limit.observe(millis, expected);
			}
		}
		if (measurement.promptTokens() == 0) {
			this.limit.observe(1, 1);
		}
		if (this.prefixes.cachedShare(out.ask().prefixHash()) > 0 || measurement.cachedPromptTokens() > 0) {
			this.prefixes.observe(measurement.promptTokens(), measurement.cachedPromptTokens());
		}
		this.speed.observe(measurement, meanRunning, out.backlogTokens());
		this.serviceMillis = (this.measured) ? this.serviceMillis + SERVICE_WEIGHT * (millis - this.serviceMillis)
				: millis;
		this.measured = true;
	}

	/**
	 * Looks for runs that take longer than expected. The second most overdue one counts,
	 * as a single one may only have been estimated badly.
	 * @param running what runs
	 * @param now the current time
	 */
	void watch(RunningCount running, long now) {
		if (!this.measured || this.roughEstimates) {
			return;
		}
		double[] ratios = running.permits().mapToDouble((out) -> out.overdue(now, OVERDUE_GRACE_MILLIS)).toArray();
		Arrays.sort(ratios);
		double ratio = (ratios.length > 1) ? ratios[ratios.length - 2] : 1;
		this.slowness = (ratio > SLOW) ? ratio : 1;
		if (this.slowness > STALLED) {
			this.health.stalled(now);
		}
	}

	ServerState state(RunningCount running, int waiting, long now) {
		return new ServerState(this.server.id(), running.size(), waiting, lowerTierLimit(now),
				running.isLowerTierRunning(), this.health.isIsolated(),
				this.health.isIsolated() && this.health.mayRun(now),
				(long) (backlogTokens(now) * speed(now).prefillMillisPerToken()), (long) serviceMillis(now),
				speed(now));
	}

}
