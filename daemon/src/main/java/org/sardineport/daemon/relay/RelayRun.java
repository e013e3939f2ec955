package org.sardineport.daemon.relay;

import java.time.Duration;
import java.time.Instant;
import java.util.Objects;

import io.vertx.core.Context;
import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import org.jspecify.annotations.Nullable;
import org.sardineport.core.admission.Permit;
import org.sardineport.core.admission.PermitListener;
import org.sardineport.core.admission.RunEnd;
import org.sardineport.core.admission.RunMeasurement;
import org.sardineport.core.admission.SchedulingRequest;
import org.sardineport.core.exchange.RefusedException;
import org.sardineport.core.identity.PoolName;
import org.sardineport.core.quarantine.StrikeKey;
import org.sardineport.core.relay.AttemptEnd;
import org.sardineport.core.relay.RelayAdmission;
import org.sardineport.core.relay.RequestProgress;
import org.sardineport.core.relay.ResponseHead;
import org.sardineport.core.request.Refusal;
import org.sardineport.core.request.RefusalReason;
import org.sardineport.core.request.Tier;
import org.sardineport.daemon.telemetry.EventLog;

/**
 * Runs one admitted request up to its final response: waits for a permit, makes attempts
 * one after another as far as the route and the retry budget allow, and passes the
 * response on. Confined to the event loop.
 */
final class RelayRun implements AttemptListener {

	/** Time before the caller's deadline at which the final response is sent. */
	private static final Duration RESPONSE_MARGIN = Duration.ofMillis(25);

	/** Minimum remaining time for which another attempt is worthwhile. */
	private static final Duration MIN_ATTEMPT_TIME = Duration.ofMillis(20);

	/**
	 * Time without data after which a caller's disconnection counts as a timeout of the
	 * backend server.
	 */
	private static final Duration UNRESPONSIVE_AFTER = Duration.ofSeconds(1);

	/** Time after which a caller may retry if no better estimate is known. */
	private static final Duration DEFAULT_RETRY_AFTER = Duration.ofSeconds(1);

	private static final EventLog LOG = EventLog.of(RelayRun.class);

	private final RelayServices services;

	private final RelayRequest request;

	private final CallerResponse response;

	private final Context context;

	private final PoolName pool;

	private final Tier tier;

	private final RequestProgress progress;

	private final AttemptPlanner planner;

	private @Nullable SchedulingRequest pendingRequest;

	private @Nullable Permit permit;

	private @Nullable Attempt attempt;

	private @Nullable ErrorResponse lastErrorResponse;

	private @Nullable ResponseHead startedResponse;

	private long lastEventId = -1;

	private long deadlineTimer = -1;

	private boolean finished;

	RelayRun(RelayServices services, RelayRequest request, CallerResponse response) {
		this.services = services;
		this.request = request;
		this.response = response;
		this.context = services.vertx().getOrCreateContext();
		RelayAdmission admission = request.admission();
		this.pool = admission.route().pool(services.random().nextDouble());
		this.tier = admission.route().tier((admission.organisation() != null) ? admission.organisation().rank() : null);
		this.progress = RequestProgress.of(admission.route());
		this.planner = new AttemptPlanner(services, request, this.pool, this.tier);
	}

	void start() {
		Duration remaining = Duration.between(now(), this.request.deadline()).minus(RESPONSE_MARGIN);
		this.deadlineTimer = this.services.vertx()
			.setTimer(Math.max(1, remaining.toMillis()), (id) -> deadlinePassed());
		this.services.retryAllowance().requested(this.pool, this.services.clock().millis());
		requestPermit();
	}

	private void requestPermit() {
		SchedulingRequest schedulingRequest = this.planner.schedulingRequest(this.services.schedulingIds().get(),
				this.progress);
		this.pendingRequest = schedulingRequest;
		this.services.scheduler().submit(schedulingRequest, new EventLoopListener(schedulingRequest));
	}

	private void granted(SchedulingRequest schedulingRequest, Permit grantedPermit) {
		if (this.finished || this.pendingRequest != schedulingRequest) {
			this.services.scheduler().release(grantedPermit, RunMeasurement.none(RunEnd.UNUSED));
			return;
		}
		this.pendingRequest = null;
		try {
			this.services.gate().recheck(this.request.admission());
			if (!grantedPermit.isValidAt(now()) || !isListed(grantedPermit)) {
				this.services.scheduler().release(grantedPermit, RunMeasurement.none(RunEnd.UNUSED));
				requestPermit();
				return;
			}
			dispatch(grantedPermit);
		}
		catch (RefusedException ex) {
			this.services.scheduler().release(grantedPermit, RunMeasurement.none(RunEnd.UNUSED));
			refused(ex.refusal());
		}
	}

	private boolean isListed(Permit grantedPermit) {
		return this.services.fleet().current().backendServers().contains(grantedPermit.backendServer());
	}

	private void dispatch(Permit grantedPermit) {
		this.permit = grantedPermit;
		this.progress.sent();
		LOG.info("request.dispatched", "request", id(), "route", route(), "backend-server",
				grantedPermit.backendServer().id(), "attempt", this.progress.attempts(), "tier", this.tier.label(),
				"version", version(), "proof-age-ms", this.services.inForce().readAgeMillis(), "waited-ms",
				ageMillis());
		Attempt newAttempt = new Attempt(this.services,
				this.planner.attemptPlan(grantedPermit, this.progress, this.lastEventId), this);
		this.attempt = newAttempt;
		newAttempt.start();
	}

	@Override
	public void responseReceived(ResponseHead head, MultiMap headers, Buffer body) {
		if (head.isServerError() || head.impliesNotRun()) {
			this.lastErrorResponse = head.impliesNotRun() ? null : new ErrorResponse(head.status(), headers, body);
			attemptEnded(AttemptEnd.FAILED, "status " + head.status());
			return;
		}
		releasePermit(RunEnd.COMPLETED);
		recordIfSuccessful(head);
		forward(head.status(), headers, body);
	}

	private void forward(int status, MultiMap headers, Buffer body) {
		finish();
		recordResponse(status);
		this.response.send(status, this.services.protocol().callerResponseHeaders(headers), body);
	}

	@Override
	public void responseStarted(ResponseHead head, MultiMap headers) {
		if (!this.progress.isResponseStarted()) {
			this.progress.responseStarted();
			this.startedResponse = head;
			this.services.telemetry().timeToFirstByte(this.tier).update(Duration.ofMillis(ageMillis()));
			this.response.begin(head.status(), this.services.protocol().callerResponseHeaders(headers));
		}
	}

	@Override
	public void dataReceived(Buffer bytes) {
		if (this.response.write(bytes) && this.attempt != null) {
			Attempt current = this.attempt;
			current.pause();
			this.response.onDrained(current::resume);
		}
	}

	@Override
	public void responseCompleted() {
		ResponseHead head = Objects.requireNonNull(this.startedResponse, "the response must have started");
		releasePermit(RunEnd.COMPLETED);
		recordIfSuccessful(head);
		finish();
		recordResponse(head.status());
		this.response.end();
	}

	// Another response may have been sent before the request was run.
	private void recordIfSuccessful(ResponseHead head) {
		if (head.isSuccess()) {
			this.services.scheduler().recordSuccess(this.planner.fingerprint());
		}
	}

	@Override
	public void failed(AttemptEnd end, String detail) {
		attemptEnded(end, detail);
	}

	private void attemptEnded(AttemptEnd end, String detail) {
		Permit usedPermit = this.permit;
		if (usedPermit == null) {
			throw new IllegalStateException("an attempt must hold a permit");
		}
		this.progress.ended(usedPermit.backendServer().id(), end);
		this.lastEventId = (this.attempt != null) ? Math.max(this.lastEventId, this.attempt.lastEventId())
				: this.lastEventId;
		boolean retry = mayRetry(end);
		LOG.info("request.attempt-ended", "request", id(), "backend-server", usedPermit.backendServer().id(), "end",
				end.label(), "attempt", this.progress.attempts(), "again", retry, "age-ms", ageMillis(), "fingerprint",
				this.planner.fingerprint(), "detail", detail);
		releasePermit(runEnd(end, usedPermit));
		if (retry) {
			this.services.telemetry().retried(end.retryReason()).inc();
			requestPermit();
		}
		else {
			endWithoutRetry(end, detail);
		}
	}

	private RunEnd runEnd(AttemptEnd end, Permit usedPermit) {
		if (end != AttemptEnd.BROKEN) {
			return end.runEnd();
		}
		StrikeKey suspect = new StrikeKey(this.planner.fingerprint(), usedPermit.backendServer().process());
		BackendConnection broken = (this.attempt != null) ? this.attempt.connection() : null;
		boolean lastConnection = this.services.crashes().connectionBroke(suspect, broken);
		return lastConnection ? RunEnd.BROKEN : RunEnd.REJECTED;
	}

	private boolean mayRetry(AttemptEnd end) {
		boolean enoughTime = now().plus(RESPONSE_MARGIN).plus(MIN_ATTEMPT_TIME).isBefore(this.request.deadline());
		if (this.finished || !enoughTime || !this.progress.mayRetry()) {
			return false;
		}
		int daemons = Math.max(1, this.services.fleet().current().members().size());
		return end == AttemptEnd.NOT_CONNECTED
				|| this.services.retryAllowance().trySpend(this.pool, daemons, this.services.clock().millis());
	}

	private void endWithoutRetry(AttemptEnd end, String detail) {
		ErrorResponse errorResponse = this.lastErrorResponse;
		if (errorResponse != null && !this.progress.isResponseStarted() && end == AttemptEnd.FAILED) {
			forward(errorResponse.status(), errorResponse.headers(), errorResponse.body());
			return;
		}
		RefusalReason reason = this.progress.mayHaveRun() ? RefusalReason.BACKEND_FAILED : RefusalReason.OVERLOADED;
		refused(Refusal.retryAfter(reason, "the last attempt ended: " + end.label() + ", " + detail,
				DEFAULT_RETRY_AFTER));
	}

	private void refused(Refusal refusal) {
		if (this.finished) {
			return;
		}
		finish();
		Refusal sentRefusal = this.progress.mayHaveRun() ? asUnknownOutcome(refusal) : withRetryAfter(refusal);
		this.services.telemetry().refused(sentRefusal.reason()).inc();
		LOG.info("request.refused", "request", id(), "route", route(), "kind", sentRefusal.reason().label(), "attempts",
				this.progress.attempts(), "begun", this.progress.isResponseStarted(), "version", version(),
				"proof-age-ms", this.services.inForce().readAgeMillis(), "age-ms", ageMillis(), "limit-ms",
				Duration.between(this.request.arrival(), this.request.deadline()).toMillis(), "detail",
				sentRefusal.detail());
		if (this.progress.isResponseStarted()) {
			this.services.telemetry().cut(sentRefusal.reason()).inc();
			this.response.abort();
		}
		else {
			this.response.refuse(id(), sentRefusal, false);
		}
	}

	private Refusal withRetryAfter(Refusal refusal) {
		return switch (refusal.reason()) {
			case OVERLOADED, RETRY_BUDGET_SPENT, DEADLINE_UNREACHABLE, NO_BACKEND_SERVER ->
				Refusal.retryAfter(refusal.reason(), refusal.detail(),
						this.services.returnTimes().afterOverload(Duration.between(now(), this.request.deadline())));
			default -> refusal;
		};
	}

	private static Refusal asUnknownOutcome(Refusal refusal) {
		return switch (refusal.reason()) {
			case BACKEND_FAILED, BACKEND_TIMEOUT -> refusal;
			default -> Refusal.retryAfter(RefusalReason.BACKEND_FAILED, refusal.detail(), DEFAULT_RETRY_AFTER);
		};
	}

	private void deadlinePassed() {
		if (this.finished) {
			return;
		}
		boolean running = this.attempt != null && this.permit != null;
		if (this.pendingRequest != null) {
			this.services.scheduler().abandon(this.pendingRequest.id());
		}
		if (running) {
			this.progress.ended(this.permit.backendServer().id(), AttemptEnd.SILENT);
			this.attempt.abort();
			releasePermit(RunEnd.TIMED_OUT);
		}
		RefusalReason reason = running ? RefusalReason.BACKEND_TIMEOUT : RefusalReason.DEADLINE_PASSED;
		refused(Refusal.retryAfter(reason, "the time limit passed", DEFAULT_RETRY_AFTER));
	}

	void callerDisconnected() {
		if (this.finished) {
			return;
		}
		finish();
		LOG.info("request.caller-left", "request", id(), "route", route(), "attempts", this.progress.attempts(),
				"begun", this.progress.isResponseStarted(), "age-ms", ageMillis());
		this.services.telemetry().refused(RefusalReason.CALLER_GONE).inc();
		if (this.pendingRequest != null) {
			this.services.scheduler().abandon(this.pendingRequest.id());
		}
		boolean unresponsive = this.attempt != null && this.attempt.isUnresponsiveFor(UNRESPONSIVE_AFTER);
		if (this.attempt != null) {
			this.attempt.abort();
		}
		releasePermit(unresponsive ? RunEnd.TIMED_OUT : RunEnd.CANCELLED);
		this.response.callerDisconnected();
	}

	private void releasePermit(RunEnd end) {
		Permit heldPermit = this.permit;
		Attempt endedAttempt = this.attempt;
		this.permit = null;
		this.attempt = null;
		if (heldPermit != null) {
			this.services.scheduler()
				.release(heldPermit, (endedAttempt != null) ? endedAttempt.measurement(end) : RunMeasurement.none(end));
		}
	}

	private void recordResponse(int status) {
		this.services.telemetry().completed(this.tier).inc();
		this.services.telemetry().duration(this.tier).update(Duration.ofMillis(ageMillis()));
		LOG.info("request.answered", "request", id(), "route", route(), "status", status, "attempts",
				this.progress.attempts(), "version", version(), "age-ms", ageMillis());
	}

	private void finish() {
		this.finished = true;
		this.services.vertx().cancelTimer(this.deadlineTimer);
	}

	private Instant now() {
		return this.services.clock().instant();
	}

	private long ageMillis() {
		return Duration.between(this.request.arrival(), now()).toMillis();
	}

	private String id() {
		return this.request.head().requestId();
	}

	private String route() {
		return this.request.admission().route().name();
	}

	private long version() {
		return this.request.admission().configuration().version();
	}

	/**
	 * Error response of a backend server, kept for the caller in case no other attempt
	 * succeeds.
	 */
	private record ErrorResponse(int status, MultiMap headers, Buffer body) {

	}

	/**
	 * Passes the scheduler's decisions on to the event loop.
	 */
	private final class EventLoopListener implements PermitListener {

		private final SchedulingRequest schedulingRequest;

		EventLoopListener(SchedulingRequest schedulingRequest) {
			this.schedulingRequest = schedulingRequest;
		}

		@Override
		public void granted(Permit grantedPermit) {
			RelayRun.this.context
				.runOnContext((ignored) -> RelayRun.this.granted(this.schedulingRequest, grantedPermit));
		}

		@Override
		public void refused(Refusal refusal) {
			RelayRun.this.context.runOnContext((ignored) -> {
				if (RelayRun.this.pendingRequest == this.schedulingRequest) {
					RelayRun.this.pendingRequest = null;
					RelayRun.this.refused(refusal);
				}
			});
		}

		@Override
		public void preempted(Permit preemptedPermit) {
			// Nothing to do: forwarded requests are in tiers below the top, the only
			// one that preempts, or run to completion.
		}

	}

}
