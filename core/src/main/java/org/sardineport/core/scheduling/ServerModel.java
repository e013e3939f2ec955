package org.sardineport.core.scheduling;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.admission.RunEnd;
import org.sardineport.core.admission.RunMeasurement;
import org.sardineport.core.backend.BackendServer;
import org.sardineport.core.capacity.CapacityChange;
import org.sardineport.core.capacity.LearnedCapacity;
import org.sardineport.core.capacity.LoadIntegral;
import org.sardineport.core.limit.AdaptiveLimit;
import org.sardineport.core.limit.RejectionPacing;
import org.sardineport.core.limit.RequestRate;
import org.sardineport.core.limit.ServerHealth;
import org.sardineport.core.limit.StatedLimits;
import org.sardineport.core.request.TokenEstimate;
import org.sardineport.core.routing.PrefixCacheModel;
import org.sardineport.core.routing.ServerState;
import org.sardineport.core.routing.Speed;
import org.sardineport.core.routing.SpeedModel;
import org.sardineport.core.routing.StartRate;

/**
 * Performance model that an owner has learned for its backend server: speed, prefix
 * cache, concurrency limit, stated limits and health. Not thread-safe.
 */
final class ServerModel {

	/** Weight of a new run in the moving average of the duration. */
	private static final double SERVICE_WEIGHT = 0.1;

	/** Mean duration assumed before the first measurement, in milliseconds. */
	private static final double INITIAL_SERVICE_MILLIS = 200;

	/**
	 * Part of a run's age that is ignored when its delay is measured, in milliseconds.
	 */
	private static final long OVERDUE_GRACE_MILLIS = 250;

	/** Ratio of age to expected duration above which a backend server counts as slow. */
	private static final double SLOW_RATIO = 2;

	/** Ratio above which the backend server counts as stalled and is isolated. */
	private static final double STALLED_RATIO = 6;

	/** Minimum time per prompt token, so that a backlog drains at a finite rate. */
	private static final double MIN_MILLIS_PER_TOKEN = 1e-3;

	/**
	 * Mean time between completions, in milliseconds, below which no headroom is kept for
	 * the top tier.
	 */
	private static final double SHORT_WAIT_MILLIS = 100;

	/**
	 * Idle time after which learned times begin to decay, and their half-life from then
	 * on, in milliseconds.
	 */
	private static final double IDLE_HALF_LIFE_MILLIS = 5000;

	/** Minimum factor on learned times after a long idle period. */
	private static final double MIN_IDLE_FACTOR = 0.05;

	/** Minimum number of answer tokens for a usable time of a token. */
	private static final int MIN_TIMED_TOKENS = 8;

	private static final long NEVER = Long.MAX_VALUE;

	private final BackendServer server;

	private final SpeedModel speed = SpeedModel.create();

	private final PrefixCacheModel prefixes;

	private final AdaptiveLimit limit;

	private final @Nullable LearnedCapacity capacity;

	private final LoadIntegral load = LoadIntegral.startingAt(0);

	private final List<CapacityChange> capacityChanges = new ArrayList<>();

	private final boolean roughEstimates;

	private final ServerHealth health = ServerHealth.create();

	private final PlaceShare places = PlaceShare.create();

	private final StartPacing pacing = new StartPacing();

	private final RequestRate rate = RequestRate.unlimited();

	private final RejectionPacing rejections = RejectionPacing.unlimited();

	private double backlog;

	private long backlogUpdatedAt;

	private double outstandingTokens;

	private double serviceMillis = INITIAL_SERVICE_MILLIS;

	private boolean measured;

	private double slowdown = 1;

	private long idleSince = NEVER;

	ServerModel(BackendServer server, EngineAssumptions assumptions) {
		this.server = server;
		this.roughEstimates = assumptions.roughEstimates();
		this.limit = assumptions.concurrency().limitOf(server.nominalConcurrency());
		this.capacity = assumptions.concurrency().capacityOf(server.nominalConcurrency());
		this.prefixes = PrefixCacheModel.withHitRatio(assumptions.hitShare());
	}

	/**
	 * Discards the state of current runs but keeps what was learned. Called when this
	 * daemon becomes the owner again.
	 * @param now the current time
	 */
	void resetRunning(long now) {
		this.backlog = 0;
		this.outstandingTokens = 0;
		this.slowdown = 1;
		this.health.runInconclusive();
		this.rate.empty(now);
		this.rejections.reset();
	}

	BackendServer server() {
		return this.server;
	}

	/**
	 * Returns the concurrency limit that applies on average to all tiers.
	 * @return concurrent requests
	 */
	int limit() {
		return (this.capacity != null) ? this.capacity.limit() : this.limit.limit();
	}

	/**
	 * Returns the concurrency limit for the top tier.
	 * @return maximum concurrent requests
	 */
	int hardLimit() {
		return (this.capacity != null) ? this.capacity.limit() : this.limit.hardLimit();
	}

	/**
	 * Updates the learned capacity.
	 * @param running number of concurrent requests
	 * @param now the current time
	 */
	void updateCapacity(int running, long now) {
		if (this.capacity != null) {
			this.load.change(running, now);
			this.capacity.update(running, now).ifPresent(this.capacityChanges::add);
		}
	}

	/**
	 * Returns the changes of the learned capacity since the last call.
	 * @return the changes, oldest first
	 */
	List<CapacityChange> takeCapacityChanges() {
		if (this.capacityChanges.isEmpty()) {
			return List.of();
		}
		List<CapacityChange> taken = List.copyOf(this.capacityChanges);
		this.capacityChanges.clear();
		return taken;
	}

	/**
	 * Returns the concurrency limit for requests below the top tier. It leaves headroom
	 * for the top tier, except on backend servers whose runs complete so often that the
	 * top tier can wait for the next one.
	 * @param now the current time
	 * @return maximum concurrent requests
	 */
	int lowerTierLimit(long now) {
		if (this.capacity != null) {
			return this.capacity.limit();
		}
		boolean fast = this.measured && serviceMillis(now) / this.limit.limit() < SHORT_WAIT_MILLIS;
		return (fast) ? this.limit.limit() : this.limit.lowerTierLimit();
	}

	/**
	 * Returns how many places of the backend server are occupied.
	 * @param permits number of permits that are out
	 * @return the number, at most that of the permits; all count if the backend server
	 * bears few rejections
	 */
	int occupiedPlaces(int permits) {
		return this.rejections.isLimited() ? permits : this.places.occupied(permits);
	}

	/**
	 * Returns whether runs may start beyond the number of permits that are out, as many
	 * of these are on their way.
	 * @param now the current time
	 * @return whether the backend server completes runs fast enough
	 */
	boolean mayExceedPermits(long now) {
		return this.pacing.hasRoom(placeMillis(now), now);
	}

	// Runs seem longer than they are to daemons that read responses late.
	private double placeMillis(long now) {
		double learned = this.places.placeMillis();
		return (learned > 0) ? Math.min(learned, serviceMillis(now)) : serviceMillis(now);
	}

	ServerHealth health() {
		return this.health;
	}

	/**
	 * Applies limits that the backend server has stated.
	 * @param limits the limits
	 * @param time when it stated them
	 * @param running number of requests that run there
	 * @param now the current time
	 * @return whether other limits apply than before
	 */
	boolean applyStated(StatedLimits limits, long time, int running, long now) {
		boolean rateChanged = this.rate.apply(limits.rate(), time, now);
		return this.rejections.apply(limits.maxRejections(), time, running) || rateChanged;
	}

	/**
	 * Returns whether a request may start within the limits that the backend server
	 * states.
	 * @param running number of requests that run there
	 * @param now the current time
	 * @return whether it may start now
	 */
	boolean mayStart(int running, long now) {
		return this.rate.hasToken(now) && this.rejections.mayStart(running, now);
	}

	/**
	 * Returns when the last of several requests may start within the limits that the
	 * backend server states.
	 * @param requests number of requests, at least 1
	 * @param running number of requests that run there
	 * @param now the current time
	 * @return milliseconds from now
	 */
	long millisUntilStart(int requests, int running, long now) {
		return Math.max(this.rate.millisUntil(requests, now), this.rejections.millisUntilStart(running, now));
	}

	/**
	 * Returns the mean time between two requests within the stated rate.
	 * @return milliseconds; 0 if there is no limit
	 */
	double millisPerRequest() {
		return this.rate.limit().millisPerRequest();
	}

	double serviceMillis(long now) {
		return this.serviceMillis * timeFactor(now);
	}

	/**
	 * Returns the factor on learned times. It rises while runs are overdue and decays
	 * while the backend server is idle, so that a formerly slow backend server is tried
	 * again.
	 * @param now the current time
	 * @return the factor; 1 if learned times apply unchanged
	 */
	private double timeFactor(long now) {
		if (this.idleSince == NEVER || now - this.idleSince < IDLE_HALF_LIFE_MILLIS) {
			return this.slowdown;
		}
		return Math.max(MIN_IDLE_FACTOR, Math.pow(0.5, (now - this.idleSince) / IDLE_HALF_LIFE_MILLIS - 1));
	}

	/**
	 * Forecasts a run that starts now.
	 * @param permitRequest the request
	 * @param running number of concurrent requests, including this one
	 * @param now the current time
	 * @return the forecast
	 */
	RunForecast forecast(PermitRequest permitRequest, int running, long now) {
		Speed current = speed(now);
		TokenEstimate estimate = permitRequest.estimate();
		if (estimate.total() == 0) {
			return new RunForecast(0, 0, 0, 0, (this.measured) ? serviceMillis(now) : 0);
		}
		double uncached = estimate.prompt() * (1 - this.prefixes.expectedHitRatio(permitRequest.prefixHash()));
		double backlog = backlogTokens(now);
		return new RunForecast(backlog, uncached, backlog * current.prefillMillisPerToken(),
				current.prefillMillis(uncached), current.decodeMillis(estimate.answer(), running));
	}

	/**
	 * Returns the prompt tokens that remain to be prefilled: those of granted permits,
	 * drained at the learned speed, and at most those of the outstanding permits.
	 * @param now the current time
	 * @return tokens
	 */
	private double backlogTokens(long now) {
		double drained = (now - this.backlogUpdatedAt)
				/ Math.max(speed(now).prefillMillisPerToken(), MIN_MILLIS_PER_TOKEN);
		return Math.max(0, Math.min(this.backlog - drained, this.outstandingTokens));
	}

	/**
	 * Forecasts a run that starts now on a backend server that runs at its nominal
	 * concurrency.
	 * @param permitRequest the request
	 * @param now the current time
	 * @return the forecast
	 */
	RunForecast forecastAtFullLoad(PermitRequest permitRequest, long now) {
		return forecast(permitRequest, this.server.nominalConcurrency(), now);
	}

	private Speed speed(long now) {
		return this.speed.speed().scaledBy(timeFactor(now));
	}

	void runStarted(OutstandingPermit permit, long now) {
		permit.recordLoadAtGrant(this.load.change(permit.runningAtGrant(), now));
		this.health.runStarted();
		this.rate.take(now);
		this.rejections.runStarted(permit.runningAtGrant(), now);
		this.pacing.started(placeMillis(now), limit(), now);
		this.idleSince = NEVER;
		this.prefixes.recordPrefill(permit.permitRequest().prefixHash());
		this.outstandingTokens += permit.prefillTokens();
		this.backlog = backlogTokens(now) + permit.prefillTokens();
		this.backlogUpdatedAt = now;
	}

	void runEnded(OutstandingPermit permit, RunMeasurement reported, int runningNow, long now) {
		RunMeasurement measurement = reported.withExpectedCache((int) permit.prefillTokens());
		boolean rejected = measurement.end() == RunEnd.NOT_ADMITTED;
		observeCapacity(permit, measurement, runningNow, now);
		this.rejections.runEnded(permit.grantedAt(), rejected, runningNow, now);
		this.outstandingTokens = (runningNow <= 1) ? 0 : Math.max(0, this.outstandingTokens - permit.prefillTokens());
		this.idleSince = (runningNow <= 1) ? now : NEVER;
		if (measurement.statedRequests() != RunMeasurement.NOT_STATED) {
			this.places.observeStated(measurement.statedRequests(), runningNow);
		}
		if (measurement.end() == RunEnd.UNUSED) {
			this.places.observe(now - permit.grantedAt(), 0);
		}
		if (measurement.end() == RunEnd.COMPLETED) {
			this.places.observe(now - permit.grantedAt(), measurement.duration().toNanos() / 1e6);
			completed(permit, measurement, runningNow);
		}
		else if (measurement.end() == RunEnd.TIMED_OUT) {
			timedOut(permit, measurement, now);
		}
		else if (measurement.end() == RunEnd.REJECTED) {
			this.limit.failed();
			this.health.runRejected(now);
		}
		else if (measurement.end().isBackendFailure()) {
			this.limit.failed();
			this.health.runFailed(now);
		}
		else {
			this.health.runInconclusive();
		}
		if (!measurement.end().mayHaveRun()) {
			this.backlog = Math.max(0, backlogTokens(now) - permit.prefillTokens());
			this.backlogUpdatedAt = now;
		}
	}

	// The time up to the first data of a response without tokens, and the time of a token
	// otherwise, depend on neither the length of the response nor the speed of its
	// reader.
	private void observeCapacity(OutstandingPermit permit, RunMeasurement measurement, int runningNow, long now) {
		double integral = this.load.change(Math.max(0, runningNow - 1), now);
		Duration first = measurement.timeToFirstToken();
		if (this.capacity == null || measurement.end() != RunEnd.COMPLETED || first == null || now <= permit.grantedAt()
				|| Double.isNaN(permit.loadAtGrant())) {
			return;
		}
		double meanLoad = (integral - permit.loadAtGrant()) / (now - permit.grantedAt());
		double firstMillis = first.toNanos() / 1e6;
		double millis = measurement.duration().toNanos() / 1e6;
		if (measurement.answerTokens() == 0) {
			this.capacity.observe(meanLoad, firstMillis, firstMillis, now);
		}
		else if (measurement.answerTokens() >= MIN_TIMED_TOKENS) {
			this.capacity.observe(meanLoad, (millis - firstMillis) / (measurement.answerTokens() - 1), millis, now);
		}
		updateCapacity(Math.max(0, runningNow - 1), now);
	}

	private void timedOut(OutstandingPermit permit, RunMeasurement measurement, long now) {
		this.limit.observe(measurement.duration().toMillis(), permit.expectedMillis());
		boolean stalled = measurement.duration().toMillis() > STALLED_RATIO * Math.max(1, permit.expectedMillis());
		if (measurement.timeToFirstToken() == null && (stalled || this.roughEstimates)) {
			this.health.runFailed(now);
		}
		else {
			this.health.runInconclusive();
		}
	}

	private void completed(OutstandingPermit permit, RunMeasurement measurement, int runningNow) {
		this.health.runSucceeded();
		double millis = measurement.duration().toNanos() / 1e6;
		double meanRunning = (permit.runningAtGrant() + runningNow) / 2.0;
		if (this.server.nominalConcurrency() > 1 && measurement.timeToFirstToken() != null) {
			double uncached = measurement.promptTokens() - measurement.cachedPromptTokens();
			Speed learned = this.speed.speed();
			double expected = permit.backlogMillis() + learned.prefillMillis(uncached)
					+ learned.decodeMillis(measurement.answerTokens(), (int) Math.round(meanRunning));
			if (this.measured && measurement.promptTokens() > 0) {
				this.limit.observe(millis, expected);
			}
		}
		if (measurement.promptTokens() == 0) {
			this.limit.observe(1, 1);
		}
		if (this.prefixes.expectedHitRatio(permit.permitRequest().prefixHash()) > 0
				|| measurement.cachedPromptTokens() > 0) {
			this.prefixes.observe(measurement.promptTokens(), measurement.cachedPromptTokens());
		}
		this.speed.observe(measurement, meanRunning, permit.backlogTokens());
		this.serviceMillis = (this.measured) ? this.serviceMillis + SERVICE_WEIGHT * (millis - this.serviceMillis)
				: millis;
		this.measured = true;
	}

	/**
	 * Detects a slow or stalled backend server from runs that take longer than expected.
	 * Uses the second most overdue run, because a single one may be due to a poor
	 * estimate.
	 * @param occupancy the outstanding permits
	 * @param now the current time
	 */
	void detectSlowdown(ServerOccupancy occupancy, long now) {
		if (!this.measured || this.roughEstimates) {
			return;
		}
		double[] ratios = occupancy.permits()
			.mapToDouble((permit) -> permit.overdueRatio(now, OVERDUE_GRACE_MILLIS))
			.toArray();
		Arrays.sort(ratios);
		double ratio = (ratios.length > 1) ? ratios[ratios.length - 2] : 1;
		this.slowdown = (ratio > SLOW_RATIO) ? ratio : 1;
		if (this.slowdown > STALLED_RATIO) {
			this.health.runsStalled(now);
		}
	}

	ServerState state(ServerOccupancy occupancy, int waiting, long now) {
		return new ServerState(this.server.id(), occupiedPlaces(occupancy.size()), waiting, lowerTierLimit(now),
				occupancy.isLowerTierRunning(), this.health.isIsolated(),
				this.health.isIsolated() && this.health.mayRun(now),
				(long) (backlogTokens(now) * speed(now).prefillMillisPerToken()), (long) serviceMillis(now), speed(now),
				new StartRate(this.rate.limit(), millisUntilStart(waiting + 1, occupancy.size(), now)));
	}

}
