package org.sardineport.daemon.relay;

import java.time.Duration;
import java.time.Instant;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.admission.Patience;
import org.sardineport.core.admission.Permit;
import org.sardineport.core.admission.SchedulingRequest;
import org.sardineport.core.exchange.RequestHashes;
import org.sardineport.core.identity.BackendServerId;
import org.sardineport.core.identity.OrganisationId;
import org.sardineport.core.identity.PoolName;
import org.sardineport.core.identity.RequestId;
import org.sardineport.core.limit.OrganisationLimit;
import org.sardineport.core.relay.CallerHead;
import org.sardineport.core.relay.RelayOrganisation;
import org.sardineport.core.relay.RelayPool;
import org.sardineport.core.relay.RelayRoute;
import org.sardineport.core.relay.Repetition;
import org.sardineport.core.relay.RequestProgress;
import org.sardineport.core.request.Fingerprint;
import org.sardineport.core.request.RunningPolicy;
import org.sardineport.core.request.Tier;
import org.sardineport.core.request.TokenEstimate;

/**
 * Works out what one request asks of the scheduler and what its attempts send.
 */
final class AttemptPlans {

	/** Organisation under which requests without a key are scheduled. */
	private static final OrganisationId OPEN = OrganisationId.of("open");

	/** Least time to wait for the first part of an answer before another is asked. */
	private static final Duration LEAST_FIRST_PATIENCE = Duration.ofMillis(250);

	/**
	 * Time to wait for the first event of a stream before another backend server is
	 * asked.
	 */
	private static final Duration FIRST_EVENT_PATIENCE = Duration.ofMillis(1200);

	/** Time between two events of a stream after which another backend server goes on. */
	private static final Duration GAP_PATIENCE = Duration.ofMillis(1000);

	/**
	 * Time that a kept connection may have been idle for a request that may run again.
	 */
	private static final Duration LONGEST_IDLE = Duration.ofSeconds(10);

	/** The same for a request that would be lost with the connection. */
	private static final Duration LONGEST_IDLE_ONCE = Duration.ofSeconds(1);

	/** Time for which an answer that has begun late is still awaited. */
	private static final Duration STREAM_GRACE = Duration.ofSeconds(60);

	/** Least time for which callers wait for a stream to begin. */
	private static final Duration LEAST_STREAM_WAIT = Duration.ofSeconds(2);

	/** Time in which a further attempt must begin. */
	private static final Duration RETRY_PATIENCE = Duration.ofSeconds(1);

	private final RelayServices services;

	private final RelayRequest request;

	private final RelayRoute route;

	private final @Nullable RelayOrganisation organisation;

	private final PoolName pool;

	private final Tier tier;

	private @Nullable Fingerprint fingerprint;

	AttemptPlans(RelayServices services, RelayRequest request, PoolName pool, Tier tier) {
		this.services = services;
		this.request = request;
		this.route = request.admission().route();
		this.organisation = request.admission().organisation();
		this.pool = pool;
		this.tier = tier;
	}

	SchedulingRequest scheduling(RequestId id, RequestProgress progress) {
		CallerHead head = this.request.head();
		OrganisationId owner = (this.organisation != null) ? this.organisation.id() : OPEN;
		return new SchedulingRequest(id, this.pool, owner, this.tier, this.route.rank(), estimate(), head.prefixHash(),
				fingerprint(owner), runningPolicy(), limit(), cost(progress), progress.failedOn(),
				this.request.arrival(), patience(progress), schedulingDeadline());
	}

	private Fingerprint fingerprint(OrganisationId owner) {
		Fingerprint known = this.fingerprint;
		if (known == null) {
			CallerHead head = this.request.head();
			known = RequestHashes.fingerprint(owner, head.method(), head.target(), this.request.body().getBytes());
			this.fingerprint = known;
		}
		return known;
	}

	private TokenEstimate estimate() {
		return this.route.streams() ? this.request.head().estimate() : TokenEstimate.NONE;
	}

	private RunningPolicy runningPolicy() {
		return (this.route.repetition() == Repetition.NEVER) ? RunningPolicy.UNINTERRUPTIBLE
				: RunningPolicy.CANCELLABLE;
	}

	private OrganisationLimit limit() {
		RelayOrganisation owner = this.organisation;
		return (owner != null) ? this.services.limits().apply(owner) : OrganisationLimit.NONE;
	}

	// A request counts against its organisation's limit once, with its first run.
	private long cost(RequestProgress progress) {
		boolean counted = progress.mayHaveRun() || this.organisation == null;
		return counted ? 0 : this.organisation.cost(this.request.head().mostTokens());
	}

	private Patience patience(RequestProgress progress) {
		if (progress.attempts() > 0) {
			return Patience.until(earlier(this.services.clock().instant().plus(RETRY_PATIENCE)));
		}
		Instant arrival = this.request.arrival();
		Duration objective = this.route.objective();
		Duration prompt = objective.multipliedBy(3).dividedBy(4);
		Duration useful = this.route.streams() ? streamPatience(objective) : objective.multipliedBy(2);
		return new Patience(earlier(arrival.plus(prompt)), earlier(arrival.plus(useful)));
	}

	// Callers leave a stream that has not begun after four times the objective or two
	// seconds; the last quarter is left for the prompt.
	private static Duration streamPatience(Duration objective) {
		Duration longest = objective.multipliedBy(4);
		Duration waits = (longest.compareTo(LEAST_STREAM_WAIT) < 0) ? LEAST_STREAM_WAIT : longest;
		return waits.multipliedBy(3).dividedBy(4);
	}

	// A quarter of the caller's time is left for the run.
	private Instant earlier(Instant instant) {
		Duration left = Duration.between(this.request.arrival(), this.request.deadline());
		Instant latest = this.request.arrival().plus(left.multipliedBy(3).dividedBy(4));
		return instant.isBefore(latest) ? instant : latest;
	}

	// The length of a stream is only guessed, so that the guess must not refuse it.
	private Instant schedulingDeadline() {
		Instant deadline = this.request.deadline();
		return this.route.streams() ? deadline.plus(STREAM_GRACE) : deadline;
	}

	AttemptPlan attempt(Permit permit, RequestProgress progress, long lastEvent) {
		CallerHead head = this.request.head();
		BackendServerId server = permit.backendServer().id();
		Duration left = Duration.between(this.services.clock().instant(), this.request.deadline());
		BackendHead added = new BackendHead(server, (this.organisation != null) ? this.organisation.id() : null, left,
				(lastEvent >= 0) ? Long.valueOf(lastEvent) : null);
		boolean watched = progress.mayGiveUpAttempt();
		return new AttemptPlan(this.services.protocol(), permit.backendServer(), head.requestId(), head.method(),
				head.target(), this.services.protocol().toBackend(this.request.headers(), added), this.request.body(),
				estimate(), tokensPerEvent(), lastEvent, progress.isAnswerBegun(), longestIdle(),
				watched ? firstPatience() : null, watched ? GAP_PATIENCE : null);
	}

	private int tokensPerEvent() {
		return this.request.admission().configuration().pool(this.pool).map(RelayPool::tokensPerEvent).orElse(1);
	}

	private Duration longestIdle() {
		return (this.route.repetition() == Repetition.NEVER) ? LONGEST_IDLE_ONCE : LONGEST_IDLE;
	}

	private Duration firstPatience() {
		if (this.route.streams()) {
			return FIRST_EVENT_PATIENCE;
		}
		Duration usual = this.route.objective().multipliedBy(3).dividedBy(2);
		return (usual.compareTo(LEAST_FIRST_PATIENCE) < 0) ? LEAST_FIRST_PATIENCE : usual;
	}

}
