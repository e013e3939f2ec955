package org.sardineport.daemon.relay;

import java.time.Duration;
import java.time.Instant;

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
import org.sardineport.core.relay.AnswerHead;
import org.sardineport.core.relay.AttemptEnd;
import org.sardineport.core.relay.RelayAdmission;
import org.sardineport.core.relay.RequestProgress;
import org.sardineport.core.request.Refusal;
import org.sardineport.core.request.RefusalReason;
import org.sardineport.core.request.Tier;
import org.sardineport.daemon.telemetry.EventLog;

/**
 * Takes one request from its admission to its final answer: waits for a permit, makes one
 * attempt after the other as far as its promises allow, and passes the answer on.
 * Confined to the event loop.
 */
final class RelayRun implements AttemptListener {

	/** Time before the caller's limit at which the final answer is given. */
	private static final Duration ANSWER_MARGIN = Duration.ofMillis(25);

	/** Least time left for an attempt to be of use. */
	private static final Duration LEAST_ATTEMPT = Duration.ofMillis(20);

	/** Silence of a backend server that callers are right to leave for. */
	private static final Duration CALLERS_PATIENCE = Duration.ofSeconds(1);

	/** Time after which a caller may come back if nothing better is known. */
	private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

	private static final EventLog LOG = EventLog.of(RelayRun.class);

	private final RelayServices services;

	private final RelayRequest request;

	private final CallerAnswer answer;

	private final Context context;

	private final PoolName pool;

	private final Tier tier;

	private final RequestProgress progress;

	private final AttemptPlans plans;

	private @Nullable SchedulingRequest waiting;

	private @Nullable Permit permit;

	private @Nullable Attempt attempt;

	private @Nullable FailedAnswer lastFailure;

	private int status;

	private long lastEvent = -1;

	private long deadlineTimer = -1;

	private boolean over;

	RelayRun(RelayServices services, RelayRequest request, CallerAnswer answer) {
		this.services = services;
		this.request = request;
		this.answer = answer;
		this.context = services.vertx().getOrCreateContext();
		RelayAdmission admission = request.admission();
		this.pool = admission.route().pool(services.random().nextDouble());
		this.tier = admission.route().tier((admission.organisation() != null) ? admission.organisation().rank() : null);
		this.progress = RequestProgress.of(admission.route());
		this.plans = new AttemptPlans(services, request, this.pool, this.tier);
	}

	void start() {
		Duration left = Duration.between(now(), this.request.deadline()).minus(ANSWER_MARGIN);
		this.deadlineTimer = this.services.vertx().setTimer(Math.max(1, left.toMillis()), (id) -> deadlinePassed());
		this.services.retries().requested(this.pool, this.services.clock().millis());
		askPermit();
	}

	private void askPermit() {
		SchedulingRequest asked = this.plans.scheduling(this.services.ids().get(), this.progress);
		this.waiting = asked;
		this.services.scheduler().submit(asked, new OnContext(asked));
	}

	private void granted(SchedulingRequest asked, Permit granted) {
		if (this.over || this.waiting != asked) {
			this.services.scheduler().release(granted, RunMeasurement.none(RunEnd.UNUSED));
			return;
		}
		this.waiting = null;
		try {
			this.services.gate().recheck(this.request.admission());
			if (!granted.isValidAt(now()) || !isListed(granted)) {
				this.services.scheduler().release(granted, RunMeasurement.none(RunEnd.UNUSED));
				askPermit();
				return;
			}
			dispatch(granted);
		}
		catch (RefusedException ex) {
			this.services.scheduler().release(granted, RunMeasurement.none(RunEnd.UNUSED));
			refused(ex.refusal());
		}
	}

	private boolean isListed(Permit granted) {
		return this.services.fleet().current().backendServers().contains(granted.backendServer());
	}

	private void dispatch(Permit granted) {
		this.permit = granted;
		this.progress.sent();
		LOG.info("request.dispatched", "request", id(), "route", route(), "backend-server",
				granted.backendServer().id(), "attempt", this.progress.attempts(), "tier", this.tier.label(), "version",
				version(), "proof-age-ms", this.services.inForce().proofAgeMillis(), "waited-ms", age());
		Attempt started = new Attempt(this.services, this.plans.attempt(granted, this.progress, this.lastEvent), this);
		this.attempt = started;
		started.start();
	}

	@Override
	public void whole(AnswerHead head, MultiMap headers, Buffer body) {
		if (head.isServerFailure() || head.saysNotRun()) {
			this.lastFailure = head.saysNotRun() ? null : new FailedAnswer(head.status(), headers, body);
			attemptEnded(AttemptEnd.FAILED, "status " + head.status());
			return;
		}
		releasePermit(RunEnd.COMPLETED);
		pass(head.status(), headers, body);
	}

	private void pass(int status, MultiMap headers, Buffer body) {
		finish();
		answered(status);
		this.answer.whole(status, this.services.protocol().toCaller(headers), body);
	}

	@Override
	public void begin(AnswerHead head, MultiMap headers) {
		if (!this.progress.isAnswerBegun()) {
			this.progress.answerBegun();
			this.status = head.status();
			this.services.telemetry().timeToFirstByte(this.tier).update(Duration.ofMillis(age()));
			this.answer.begin(head.status(), this.services.protocol().toCaller(headers));
		}
	}

	@Override
	public void part(Buffer bytes) {
		if (this.answer.part(bytes) && this.attempt != null) {
			Attempt current = this.attempt;
			current.pause();
			this.answer.whenDrained(current::resume);
		}
	}

	@Override
	public void complete() {
		releasePermit(RunEnd.COMPLETED);
		finish();
		answered(this.status);
		this.answer.complete();
	}

	@Override
	public void ended(AttemptEnd end, String detail) {
		attemptEnded(end, detail);
	}

	private void attemptEnded(AttemptEnd end, String detail) {
		Permit used = this.permit;
		if (used == null) {
			throw new IllegalStateException("an attempt must hold a permit");
		}
		this.progress.ended(used.backendServer().id(), end);
		this.lastEvent = (this.attempt != null) ? Math.max(this.lastEvent, this.attempt.lastEvent()) : this.lastEvent;
		boolean again = mayTryAgain(end);
		LOG.info("request.attempt-ended", "request", id(), "backend-server", used.backendServer().id(), "end",
				end.label(), "attempt", this.progress.attempts(), "again", again, "age-ms", age(), "detail", detail);
		releasePermit(runEnd(end, used));
		if (again) {
			this.services.telemetry().retried(end.retryReason()).inc();
			askPermit();
		}
		else {
			giveUp(end, detail);
		}
	}

	// Only a backend server that is gone as a whole may have been brought down by this
	// request; a single broken connection says nothing about it.
	private RunEnd runEnd(AttemptEnd end, Permit used) {
		boolean crashed = this.services.connections().isWithoutConnection(used.backendServer().id());
		return (end == AttemptEnd.BROKEN && !crashed) ? RunEnd.REJECTED : end.runEnd();
	}

	private boolean mayTryAgain(AttemptEnd end) {
		boolean timeLeft = now().plus(ANSWER_MARGIN).plus(LEAST_ATTEMPT).isBefore(this.request.deadline());
		if (this.over || !timeLeft || !this.progress.mayTryAgain()) {
			return false;
		}
		int sharers = Math.max(1, this.services.fleet().current().members().size());
		return end == AttemptEnd.NOT_CONNECTED
				|| this.services.retries().trySpend(this.pool, sharers, this.services.clock().millis());
	}

	private void giveUp(AttemptEnd end, String detail) {
		FailedAnswer failure = this.lastFailure;
		if (failure != null && !this.progress.isAnswerBegun() && end == AttemptEnd.FAILED) {
			pass(failure.status(), failure.headers(), failure.body());
			return;
		}
		RefusalReason reason = this.progress.mayHaveRun() ? RefusalReason.BACKEND_FAILED : RefusalReason.OVERLOADED;
		refused(Refusal.retryAfter(reason, "the last attempt ended: " + end.label() + ", " + detail, RETRY_AFTER));
	}

	private void refused(Refusal refusal) {
		if (this.over) {
			return;
		}
		finish();
		Refusal told = this.progress.mayHaveRun() ? asUnknown(refusal) : withReturnTime(refusal);
		this.services.telemetry().refused(told.reason()).inc();
		LOG.info("request.refused", "request", id(), "route", route(), "kind", told.reason().label(), "attempts",
				this.progress.attempts(), "begun", this.progress.isAnswerBegun(), "version", version(), "proof-age-ms",
				this.services.inForce().proofAgeMillis(), "age-ms", age(), "detail", told.detail());
		if (this.progress.isAnswerBegun()) {
			this.answer.breakOff();
		}
		else {
			this.answer.refuse(id(), told, false);
		}
	}

	private Refusal withReturnTime(Refusal refusal) {
		return switch (refusal.reason()) {
			case OVERLOADED, RETRY_BUDGET_SPENT, DEADLINE_UNREACHABLE, NO_BACKEND_SERVER ->
				Refusal.retryAfter(refusal.reason(), refusal.detail(),
						this.services.returns().afterOverload(Duration.between(now(), this.request.deadline())));
			default -> refusal;
		};
	}

	private static Refusal asUnknown(Refusal refusal) {
		return switch (refusal.reason()) {
			case BACKEND_FAILED, BACKEND_TIMEOUT -> refusal;
			default -> Refusal.retryAfter(RefusalReason.BACKEND_FAILED, refusal.detail(), RETRY_AFTER);
		};
	}

	private void deadlinePassed() {
		if (this.over) {
			return;
		}
		boolean running = this.attempt != null && this.permit != null;
		if (this.waiting != null) {
			this.services.scheduler().abandon(this.waiting.id());
		}
		if (running) {
			this.progress.ended(this.permit.backendServer().id(), AttemptEnd.SILENT);
			this.attempt.abort();
			releasePermit(RunEnd.TIMED_OUT);
		}
		RefusalReason reason = running ? RefusalReason.BACKEND_TIMEOUT : RefusalReason.DEADLINE_PASSED;
		refused(Refusal.retryAfter(reason, "the time limit passed", RETRY_AFTER));
	}

	void callerLeft() {
		if (this.over) {
			return;
		}
		finish();
		LOG.info("request.caller-left", "request", id(), "route", route(), "attempts", this.progress.attempts(),
				"begun", this.progress.isAnswerBegun(), "age-ms", age());
		this.services.telemetry().refused(RefusalReason.CALLER_GONE).inc();
		if (this.waiting != null) {
			this.services.scheduler().abandon(this.waiting.id());
		}
		boolean silent = this.attempt != null && this.attempt.isSilentFor(CALLERS_PATIENCE);
		if (this.attempt != null) {
			this.attempt.abort();
		}
		releasePermit(silent ? RunEnd.TIMED_OUT : RunEnd.CANCELLED);
		this.answer.closed();
	}

	private void releasePermit(RunEnd end) {
		Permit held = this.permit;
		Attempt used = this.attempt;
		this.permit = null;
		this.attempt = null;
		if (held != null) {
			this.services.scheduler().release(held, (used != null) ? used.measurement(end) : RunMeasurement.none(end));
		}
	}

	private void answered(int status) {
		this.services.telemetry().completed(this.tier).inc();
		this.services.telemetry().duration(this.tier).update(Duration.ofMillis(age()));
		LOG.info("request.answered", "request", id(), "route", route(), "status", status, "attempts",
				this.progress.attempts(), "version", version(), "age-ms", age());
	}

	private void finish() {
		this.over = true;
		this.services.vertx().cancelTimer(this.deadlineTimer);
	}

	private Instant now() {
		return this.services.clock().instant();
	}

	private long age() {
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
	 * A backend server's own failure, kept for the caller while another is tried.
	 */
	private record FailedAnswer(int status, MultiMap headers, Buffer body) {

	}

	/**
	 * Brings the scheduler's decisions to the event loop.
	 */
	private final class OnContext implements PermitListener {

		private final SchedulingRequest asked;

		OnContext(SchedulingRequest asked) {
			this.asked = asked;
		}

		@Override
		public void granted(Permit granted) {
			RelayRun.this.context.runOnContext((ignored) -> RelayRun.this.granted(this.asked, granted));
		}

		@Override
		public void refused(Refusal refusal) {
			RelayRun.this.context.runOnContext((ignored) -> {
				if (RelayRun.this.waiting == this.asked) {
					RelayRun.this.waiting = null;
					RelayRun.this.refused(refusal);
				}
			});
		}

		@Override
		public void preempted(Permit preempted) {
			// Requests that are forwarded are in tiers below the top or run to their end.
		}

	}

}
