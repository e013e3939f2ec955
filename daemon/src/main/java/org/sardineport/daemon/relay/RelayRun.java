package org.sardineport.daemon.relay;

import java.time.Duration;
import java.time.Instant;
import java.util.Objects;
import java.util.function.Function;

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

/**
 * Runs one admitted request up to its final response: waits for a permit, makes attempts
 * as far as the route and the retry budget allow, and passes the response on. An attempt
 * that fails is followed by another. One whose backend server is silent goes on, and a
 * replacement is made beside it; the first of the two to send data is kept. A response
 * that has begun is therefore closed only if no attempt is left that could continue it.
 * Confined to the event loop.
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

	private final RelayServices services;

	private final RelayRequest request;

	private final CallerResponse response;

	private final Context context;

	private final PoolName pool;

	private final RequestProgress progress;

	private final AttemptPlanner planner;

	private final RelayRunReport report;

	private @Nullable SchedulingRequest pendingRequest;

	/** The attempt whose response is passed on, or that could not be passed on yet. */
	private @Nullable PermittedAttempt current;

	/** Attempt beside a silent one; takes its place when it sends data first. */
	private @Nullable PermittedAttempt replacement;

	private @Nullable ErrorResponse lastErrorResponse;

	private @Nullable ResponseHead startedResponse;

	private long lastEventId = -1;

	private long deadlineTimer = -1;

	private long retrySpentAtMillis;

	private boolean finished;

	RelayRun(RelayServices services, RelayRequest request, CallerResponse response) {
		this.services = services;
		this.request = request;
		this.response = response;
		this.context = services.vertx().getOrCreateContext();
		RelayAdmission admission = request.admission();
		Tier tier = admission.route().tier((admission.organisation() != null) ? admission.organisation().rank() : null);
		this.pool = admission.route().pool(services.random().nextDouble());
		this.progress = RequestProgress.of(admission.route());
		this.planner = new AttemptPlanner(services, request, this.pool, tier);
		this.report = new RelayRunReport(services, request, this.progress, tier);
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
			permitRefused(ex.refusal());
		}
	}

	private boolean isListed(Permit grantedPermit) {
		return this.services.fleet().current().backendServers().contains(grantedPermit.backendServer());
	}

	private void permitRefused(Refusal refusal) {
		if (this.current == null) {
			refused(refusal);
		}
		else {
			refundRetry();
			this.report.replacementEnded(refusal.reason().label() + ": " + refusal.detail());
		}
	}

	private void dispatch(Permit permit) {
		this.progress.sent();
		this.report.dispatched(permit.backendServer());
		if (this.current != null) {
			recordLastEvent(this.current);
		}
		Attempt attempt = new Attempt(this.services, this.planner.attemptPlan(permit, this.progress, this.lastEventId),
				this);
		PermittedAttempt permitted = new PermittedAttempt(permit, attempt);
		if (this.current == null) {
			this.current = permitted;
		}
		else {
			this.replacement = permitted;
		}
		attempt.start();
	}

	@Override
	public void silent(Attempt attempt) {
		PermittedAttempt silent = this.current;
		if (silent == null || silent.attempt() != attempt || this.replacement != null || this.pendingRequest != null) {
			return;
		}
		boolean replaceable = isTimeLeft() && this.progress.mayReplaceAttempt() && spendRetry();
		this.report.silent(silent, replaceable);
		if (replaceable) {
			this.progress.silent(silent.server());
			requestPermit();
		}
	}

	/**
	 * Keeps an attempt that has sent data, and ends the other one if there are two.
	 * @param attempt the attempt
	 */
	private void keepOnly(Attempt attempt) {
		PermittedAttempt former = this.current;
		PermittedAttempt other = this.replacement;
		if (former == null) {
			throw new IllegalStateException("the attempt must not have ended");
		}
		if (former.attempt() == attempt) {
			endReplacement();
		}
		else {
			this.current = other;
			this.replacement = null;
			former.attempt().abort();
			endReplaced(former);
		}
	}

	private void endReplacement() {
		PermittedAttempt unused = this.replacement;
		if (unused != null) {
			this.replacement = null;
			unused.attempt().abort();
			release(unused, RunEnd.CANCELLED);
			this.report.replacementEnded("the backend server that was silent goes on");
		}
		else if (this.pendingRequest != null) {
			this.services.scheduler().abandon(this.pendingRequest.id());
			this.pendingRequest = null;
			refundRetry();
			this.report.replacementEnded("not needed");
		}
	}

	private void endReplaced(PermittedAttempt former) {
		this.progress.ended(former.server(), AttemptEnd.SILENT);
		this.report.attemptEnded(former.server(), AttemptEnd.SILENT, true, this.planner.fingerprint(),
				"nothing came for " + former.attempt().silence().toMillis() + " ms, another backend server goes on");
		release(former, RunEnd.TIMED_OUT);
	}

	@Override
	public void responseReceived(Attempt attempt, ResponseHead head, MultiMap headers, Buffer body) {
		if (head.isServerError() || head.impliesNotRun()) {
			this.lastErrorResponse = head.impliesNotRun() ? null : new ErrorResponse(head.status(), headers, body);
			failed(attempt, AttemptEnd.FAILED, "status " + head.status());
			return;
		}
		keepOnly(attempt);
		releaseCurrent(RunEnd.COMPLETED);
		recordIfSuccessful(head);
		forward(head.status(), headers, body);
	}

	private void forward(int status, MultiMap headers, Buffer body) {
		finish();
		this.report.answered(status);
		this.response.send(status, this.services.protocol().callerResponseHeaders(headers), body);
	}

	@Override
	public void responseStarted(Attempt attempt, ResponseHead head, MultiMap headers) {
		keepOnly(attempt);
		if (!this.progress.isResponseStarted()) {
			this.progress.responseStarted();
			this.startedResponse = head;
			this.report.responseStarted();
			this.response.begin(head.status(), this.services.protocol().callerResponseHeaders(headers));
		}
	}

	@Override
	public void dataReceived(Attempt attempt, Buffer bytes) {
		keepOnly(attempt);
		if (this.response.write(bytes)) {
			attempt.pause();
			this.response.onDrained(attempt::resume);
		}
	}

	@Override
	public void responseCompleted(Attempt attempt) {
		ResponseHead head = Objects.requireNonNull(this.startedResponse, "the response must have started");
		keepOnly(attempt);
		releaseCurrent(RunEnd.COMPLETED);
		recordIfSuccessful(head);
		finish();
		this.report.answered(head.status());
		this.response.end();
	}

	// Another response may have been sent before the request was run.
	private void recordIfSuccessful(ResponseHead head) {
		if (head.isSuccess()) {
			this.services.scheduler().recordSuccess(this.planner.fingerprint());
		}
	}

	@Override
	public void failed(Attempt attempt, AttemptEnd end, String detail) {
		PermittedAttempt ended = (this.current != null && this.current.attempt() == attempt) ? this.current
				: this.replacement;
		if (ended == null) {
			throw new IllegalStateException("the attempt must not have ended before");
		}
		recordLastEvent(ended);
		this.progress.ended(ended.server(), end);
		boolean otherAttempt = removeEnded(ended);
		boolean again = otherAttempt || mayRetry(end);
		this.report.attemptEnded(ended.server(), end, again, this.planner.fingerprint(), detail);
		release(ended, runEnd(end, ended));
		if (otherAttempt && end == AttemptEnd.NOT_CONNECTED) {
			refundRetry();
		}
		else if (!otherAttempt && again) {
			requestPermit();
		}
		else if (!again) {
			endWithoutRetry(end, detail);
		}
	}

	/**
	 * Removes an attempt that has ended.
	 * @param ended the attempt
	 * @return whether another attempt goes on, or its permit has been requested
	 */
	private boolean removeEnded(PermittedAttempt ended) {
		if (ended == this.current) {
			this.current = this.replacement;
		}
		this.replacement = null;
		return this.current != null || this.pendingRequest != null;
	}

	private void recordLastEvent(PermittedAttempt attempt) {
		this.lastEventId = Math.max(this.lastEventId, attempt.attempt().lastEventId());
	}

	private RunEnd runEnd(AttemptEnd end, PermittedAttempt ended) {
		if (end != AttemptEnd.BROKEN) {
			return end.runEnd();
		}
		StrikeKey suspect = new StrikeKey(this.planner.fingerprint(), ended.permit().backendServer().process());
		boolean lastConnection = this.services.crashes().connectionBroke(suspect, ended.attempt().connection());
		return lastConnection ? RunEnd.BROKEN : RunEnd.REJECTED;
	}

	private boolean mayRetry(AttemptEnd end) {
		if (this.finished || !isTimeLeft() || !this.progress.mayRetry()) {
			return false;
		}
		return end == AttemptEnd.NOT_CONNECTED || spendRetry();
	}

	private boolean isTimeLeft() {
		return now().plus(RESPONSE_MARGIN).plus(MIN_ATTEMPT_TIME).isBefore(this.request.deadline());
	}

	private boolean spendRetry() {
		int daemons = Math.max(1, this.services.fleet().current().members().size());
		this.retrySpentAtMillis = this.services.clock().millis();
		return this.services.retryAllowance().trySpend(this.pool, daemons, this.retrySpentAtMillis);
	}

	private void refundRetry() {
		this.services.retryAllowance().refund(this.pool, this.retrySpentAtMillis, this.services.clock().millis());
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
		this.report.refused(sentRefusal);
		if (this.progress.isResponseStarted()) {
			this.response.abort();
		}
		else {
			this.response.refuse(this.request.head().requestId(), sentRefusal, false);
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
		boolean running = this.current != null;
		if (running) {
			this.progress.silent(this.current.server());
		}
		abortAll((attempt) -> RunEnd.TIMED_OUT);
		RefusalReason reason = running ? RefusalReason.BACKEND_TIMEOUT : RefusalReason.DEADLINE_PASSED;
		refused(Refusal.retryAfter(reason, "the time limit passed", DEFAULT_RETRY_AFTER));
	}

	void callerDisconnected() {
		if (this.finished) {
			return;
		}
		finish();
		this.report.callerDisconnected();
		abortAll((attempt) -> (attempt.silence().compareTo(UNRESPONSIVE_AFTER) >= 0) ? RunEnd.TIMED_OUT
				: RunEnd.CANCELLED);
		this.response.callerDisconnected();
	}

	private void abortAll(Function<Attempt, RunEnd> runEnd) {
		if (this.pendingRequest != null) {
			this.services.scheduler().abandon(this.pendingRequest.id());
			this.pendingRequest = null;
		}
		abort(this.current, runEnd);
		abort(this.replacement, runEnd);
		this.current = null;
		this.replacement = null;
	}

	private void abort(@Nullable PermittedAttempt permitted, Function<Attempt, RunEnd> runEnd) {
		if (permitted != null) {
			RunEnd end = runEnd.apply(permitted.attempt());
			permitted.attempt().abort();
			release(permitted, end);
		}
	}

	private void releaseCurrent(RunEnd end) {
		PermittedAttempt ended = this.current;
		this.current = null;
		if (ended != null) {
			release(ended, end);
		}
	}

	private void release(PermittedAttempt ended, RunEnd end) {
		this.services.scheduler().release(ended.permit(), ended.attempt().measurement(end));
	}

	private void finish() {
		this.finished = true;
		this.services.vertx().cancelTimer(this.deadlineTimer);
	}

	private Instant now() {
		return this.services.clock().instant();
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
					permitRefused(refusal);
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
