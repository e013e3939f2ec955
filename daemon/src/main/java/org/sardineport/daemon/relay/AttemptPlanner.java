package org.sardineport.daemon.relay;

import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.admission.Permit;
import org.sardineport.core.admission.SchedulingRequest;
import org.sardineport.core.admission.StartDeadlines;
import org.sardineport.core.exchange.RequestHashes;
import org.sardineport.core.identity.BackendServerId;
import org.sardineport.core.identity.OrganisationId;
import org.sardineport.core.identity.PoolName;
import org.sardineport.core.identity.RequestId;
import org.sardineport.core.limit.OrganisationLimit;
import org.sardineport.core.quarantine.RequestSuspects;
import org.sardineport.core.relay.RelayOrganisation;
import org.sardineport.core.relay.RelayPool;
import org.sardineport.core.relay.RelayRoute;
import org.sardineport.core.relay.RequestHead;
import org.sardineport.core.relay.RequestProgress;
import org.sardineport.core.relay.RerunPolicy;
import org.sardineport.core.request.Fingerprint;
import org.sardineport.core.request.RunningPolicy;
import org.sardineport.core.request.Tier;
import org.sardineport.core.request.TokenEstimate;

/**
 * Creates the scheduling requests and attempt plans of one caller's request.
 */
final class AttemptPlanner {

	/** Organisation under which requests without a key are scheduled. */
	private static final OrganisationId OPEN = OrganisationId.of("open");

	/**
	 * Minimum time to wait for the first data of a response before another backend server
	 * is asked as well.
	 */
	private static final Duration MIN_FIRST_DATA_TIMEOUT = Duration.ofMillis(250);

	/**
	 * Time to wait for the first event of a stream before another backend server is asked
	 * as well.
	 */
	private static final Duration FIRST_EVENT_TIMEOUT = Duration.ofMillis(1200);

	/**
	 * Time between two events of a stream after which another backend server is asked to
	 * resume it.
	 */
	private static final Duration EVENT_GAP_TIMEOUT = Duration.ofMillis(1000);

	/**
	 * Maximum idle time of a reused connection for a request that may run again.
	 */
	private static final Duration MAX_IDLE_REPEATABLE = Duration.ofSeconds(10);

	/**
	 * Maximum idle time of a reused connection for a request that must not run again, as
	 * it is lost if the connection breaks.
	 */
	private static final Duration MAX_IDLE_NOT_REPEATABLE = Duration.ofSeconds(1);

	/**
	 * Time added to the deadline of a stream for scheduling, so that a response that has
	 * begun late is still awaited.
	 */
	private static final Duration STREAM_GRACE = Duration.ofSeconds(60);

	/** Minimum time for which callers wait for a stream to begin. */
	private static final Duration MIN_STREAM_WAIT = Duration.ofSeconds(2);

	/** Time within which a retry must start. */
	private static final Duration RETRY_START_TIMEOUT = Duration.ofSeconds(1);

	private final RelayServices services;

	private final RelayRequest request;

	private final RelayRoute route;

	private final @Nullable RelayOrganisation organisation;

	private final PoolName pool;

	private final Tier tier;

	private @Nullable Fingerprint fingerprint;

	private final List<Fingerprint> promptParts;

	AttemptPlanner(RelayServices services, RelayRequest request, PoolName pool, Tier tier) {
		this.services = services;
		this.request = request;
		this.route = request.admission().route();
		this.organisation = request.admission().organisation();
		this.pool = pool;
		this.tier = tier;
		this.promptParts = request.head()
			.sharedParts()
			.stream()
			.map((part) -> RequestHashes.promptPart(owner(), part))
			.toList();
	}

	/**
	 * Returns a request for a permit.
	 * @param id its identity
	 * @param progress the attempts so far
	 * @param paused backend servers that want no requests now
	 * @return the request
	 */
	SchedulingRequest schedulingRequest(RequestId id, RequestProgress progress, Set<BackendServerId> paused) {
		RequestHead head = this.request.head();
		return new SchedulingRequest(id, this.pool, owner(), this.tier, this.route.rank(), estimate(),
				head.prefixHash(), fingerprint(), runningPolicy(), limit(), cost(progress),
				excluded(progress.failedOn(), paused), this.request.arrival(), startLimits(progress),
				schedulingDeadline())
			.withPromptParts(this.promptParts);
	}

	private static Set<BackendServerId> excluded(Set<BackendServerId> failedOn, Set<BackendServerId> paused) {
		if (paused.isEmpty()) {
			return failedOn;
		}
		Set<BackendServerId> excluded = new HashSet<>(failedOn);
		excluded.addAll(paused);
		return excluded;
	}

	/**
	 * Returns the fingerprint of the request. It is computed once.
	 * @return the fingerprint
	 */
	Fingerprint fingerprint() {
		Fingerprint known = this.fingerprint;
		if (known == null) {
			RequestHead head = this.request.head();
			known = RequestHashes.fingerprint(owner(), head.method(), head.target(), this.request.body().getBytes());
			this.fingerprint = known;
		}
		return known;
	}

	/**
	 * Returns all that may be to blame if the request crashes a backend server.
	 * @return the request and the shared parts of its prompt
	 */
	RequestSuspects suspects() {
		return RequestSuspects.of(fingerprint(), this.promptParts);
	}

	OrganisationId owner() {
		return (this.organisation != null) ? this.organisation.id() : OPEN;
	}

	private TokenEstimate estimate() {
		return this.route.streams() ? this.request.head().estimate() : TokenEstimate.NONE;
	}

	private RunningPolicy runningPolicy() {
		return (this.route.rerunPolicy() == RerunPolicy.NEVER) ? RunningPolicy.UNINTERRUPTIBLE
				: RunningPolicy.CANCELLABLE;
	}

	private OrganisationLimit limit() {
		RelayOrganisation owner = this.organisation;
		return (owner != null) ? this.services.limitTolerance().apply(owner) : OrganisationLimit.NONE;
	}

	// Only the first run of a request counts against its organisation's limit.
	private long cost(RequestProgress progress) {
		boolean alreadyCounted = progress.mayHaveRun() || this.organisation == null;
		return alreadyCounted ? 0 : this.organisation.cost(this.request.head().maxTokens());
	}

	private StartDeadlines startLimits(RequestProgress progress) {
		if (progress.attempts() > 0) {
			return StartDeadlines.until(limitedByDeadline(this.services.clock().instant().plus(RETRY_START_TIMEOUT)));
		}
		Instant arrival = this.request.arrival();
		Duration objective = this.route.objective();
		Duration promptTimeout = objective.multipliedBy(3).dividedBy(4);
		Duration startTimeout = this.route.streams() ? streamStartTimeout(objective) : objective.multipliedBy(2);
		return new StartDeadlines(limitedByDeadline(arrival.plus(promptTimeout)),
				limitedByDeadline(arrival.plus(startTimeout)));
	}

	// Callers disconnect if a stream has not begun within four times the objective or
	// two seconds, whichever is longer. The last quarter of that time is reserved for
	// the prompt.
	private static Duration streamStartTimeout(Duration objective) {
		Duration scaled = objective.multipliedBy(4);
		Duration callerWait = (scaled.compareTo(MIN_STREAM_WAIT) < 0) ? MIN_STREAM_WAIT : scaled;
		return callerWait.multipliedBy(3).dividedBy(4);
	}

	// Reserves the last quarter of the caller's time for the run.
	private Instant limitedByDeadline(Instant instant) {
		Duration timeLimit = Duration.between(this.request.arrival(), this.request.deadline());
		Instant latest = this.request.arrival().plus(timeLimit.multipliedBy(3).dividedBy(4));
		return instant.isBefore(latest) ? instant : latest;
	}

	// The length of a stream is only estimated, so the estimate must not cause a refusal.
	private Instant schedulingDeadline() {
		Instant deadline = this.request.deadline();
		return this.route.streams() ? deadline.plus(STREAM_GRACE) : deadline;
	}

	AttemptPlan attemptPlan(Permit permit, RequestProgress progress, long lastEventId) {
		RequestHead head = this.request.head();
		BackendServerId server = permit.backendServer().id();
		Duration remaining = Duration.between(this.services.clock().instant(), this.request.deadline());
		AddedRequestHeaders added = new AddedRequestHeaders(server,
				(this.organisation != null) ? this.organisation.id() : null, remaining,
				(lastEventId >= 0) ? Long.valueOf(lastEventId) : null);
		boolean replaceable = progress.mayReplaceAttempt();
		return new AttemptPlan(this.services.protocol(), permit, head.requestId(), head.method(), head.target(),
				this.services.protocol().backendRequestHeaders(this.request.headers(), added), this.request.body(),
				this.request.latestResponse(), estimate(), tokensPerEvent(), lastEventId, progress.isResponseStarted(),
				this.route.streams() && head.resumedStream() != null, maxConnectionIdle(),
				replaceable ? firstDataTimeout() : null, replaceable ? EVENT_GAP_TIMEOUT : null, this.request.stages());
	}

	private int tokensPerEvent() {
		return this.request.admission().configuration().pool(this.pool).map(RelayPool::tokensPerEvent).orElse(1);
	}

	private Duration maxConnectionIdle() {
		return (this.route.rerunPolicy() == RerunPolicy.NEVER) ? MAX_IDLE_NOT_REPEATABLE : MAX_IDLE_REPEATABLE;
	}

	private Duration firstDataTimeout() {
		if (this.route.streams()) {
			return FIRST_EVENT_TIMEOUT;
		}
		Duration timeout = this.route.objective().multipliedBy(3).dividedBy(2);
		return (timeout.compareTo(MIN_FIRST_DATA_TIMEOUT) < 0) ? MIN_FIRST_DATA_TIMEOUT : timeout;
	}

}
