package org.sardineport.daemon.exchange;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Objects;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.admission.Permit;
import org.sardineport.core.admission.PermitListener;
import org.sardineport.core.admission.RunEnd;
import org.sardineport.core.admission.RunMeasurement;
import org.sardineport.core.admission.SchedulingRequest;
import org.sardineport.core.exchange.RequestLife;
import org.sardineport.core.exchange.RequestPhase;
import org.sardineport.core.exchange.RunVerdict;
import org.sardineport.core.journal.DispatchDecision;
import org.sardineport.core.port.backend.BackendException;
import org.sardineport.core.port.backend.BackendFailure;
import org.sardineport.core.port.backend.BackendRequest;
import org.sardineport.core.port.backend.Exchange;
import org.sardineport.core.request.Outcome;
import org.sardineport.core.request.Refusal;
import org.sardineport.core.request.RefusalReason;
import org.sardineport.core.request.RetryReason;
import org.sardineport.daemon.telemetry.EventLog;

/**
 * One request from its wait for a permit to its last byte. All state is touched on the
 * run's executor only; callbacks may come on any thread.
 */
final class RequestRun implements PermitListener {

	private static final EventLog LOG = EventLog.of(RequestRun.class);

	private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

	private final RunServices services;

	private final RunRequest request;

	private final SchedulingRequest scheduling;

	private final AnswerSink sink;

	private final SerialExecutor executor;

	private final DispatchRecords records;

	private final Runnable whenEnded;

	private final RequestLife life = RequestLife.create();

	private final AnswerRelay relay;

	private final PermitHolder permit;

	private final Preemption preemption;

	private final StreamMove move;

	private final RunRetries retries;

	private final CurrentExchange exchange = new CurrentExchange();

	private Runnable cancelDeadline = () -> {
	};

	private boolean preempted;

	private boolean callerLeft;

	RequestRun(RunServices services, RunRequest request, AnswerSink sink, SerialExecutor executor,
			DispatchRecords records, Runnable whenEnded) {
		this.services = services;
		this.request = request;
		this.scheduling = request.scheduling();
		this.sink = sink;
		this.executor = executor;
		this.records = records;
		this.whenEnded = whenEnded;
		this.permit = new PermitHolder(services.scheduler(), this.scheduling);
		this.retries = new RunRetries(services);
		this.relay = new AnswerRelay(this.scheduling, sink, services.telemetry(), records.maximumAnswerBytes());
		this.preemption = new Preemption(this, services, this.scheduling, executor);
		this.move = this.preemption.move();
	}

	void start() {
		this.life.tryEnter(RequestPhase.ADMITTED);
		this.life.tryEnter(RequestPhase.WAITING);
		this.sink.whenDrained(this.exchange::resume);
		submit();
	}

	private void submit() {
		Duration left = Duration.between(now(), this.scheduling.deadline());
		this.cancelDeadline.run();
		this.cancelDeadline = this.executor.schedule(left, this::onDeadline);
		this.permit.ask(this);
	}

	void callerLeft() {
		this.callerLeft = true;
		if (this.life.phase() == RequestPhase.DISPATCHED) {
			leaveDispatched();
		}
		else if (this.life.phase() == RequestPhase.WAITING && !this.permit.isHeld() && !this.request.durable()) {
			this.permit.stopAsking();
			refuseUnsent(RequestPhase.CANCELLED, RunVerdict.callerGone(Outcome.NOT_RUN));
		}
	}

	private void leaveDispatched() {
		if (this.records.outlivesCaller()) {
			this.exchange.resume();
		}
		else if (this.move.isSuspended()) {
			this.permit.stopAsking();
			fail(RunVerdict.of(BackendFailure.CANCELLED, false), BackendFailure.CANCELLED);
		}
		else {
			this.exchange.cancel();
		}
	}

	@Override
	public void granted(Permit granted) {
		this.executor.execute(() -> onGranted(granted));
	}

	@Override
	public void refused(Refusal refusal) {
		this.executor.execute(() -> {
			if (this.life.phase() == RequestPhase.WAITING && !this.permit.isHeld()) {
				refuseUnsent(RequestPhase.FAILED, refusal);
			}
			else if (this.move.isSuspended() && !this.permit.isHeld()) {
				this.preemption.refused(refusal);
			}
		});
	}

	@Override
	public void preempted(Permit taken) {
		this.executor.execute(() -> {
			if (this.permit.holds(taken)) {
				onPreempted(taken);
			}
		});
	}

	private void onPreempted(Permit taken) {
		if (this.life.phase() == RequestPhase.DISPATCHED) {
			this.preemption.preempt(taken);
		}
		else {
			this.preempted = true;
		}
	}

	void cancelPreempted() {
		this.preempted = true;
		this.exchange.cancel();
	}

	/**
	 * Lets go of the backend server, as the stream is held here, and asks for another
	 * permit.
	 * @return whether the run goes on
	 */
	boolean suspend() {
		this.exchange.detach();
		if (this.life.phase() != RequestPhase.DISPATCHED) {
			return false;
		}
		this.permit.release(this.relay.measurement(RunEnd.CANCELLED, now()));
		if (this.callerLeft && !this.records.outlivesCaller()) {
			fail(RunVerdict.of(BackendFailure.CANCELLED, false), BackendFailure.CANCELLED);
			return false;
		}
		submit();
		return true;
	}

	void submitSuspended() {
		if (this.move.isSuspended() && !this.permit.isHeld()) {
			submit();
		}
	}

	void resumed(RunAttempt resumed, Exchange continued) {
		this.relay.begin(RunMeter.resumed(now(), this.scheduling.estimate()));
		this.exchange.expect(resumed);
		this.exchange.began(continued);
	}

	void failMoved() {
		fail(RunVerdict.of(BackendFailure.CANCELLED, true), BackendFailure.CANCELLED);
	}

	private void onGranted(Permit granted) {
		boolean wanted = this.life.phase() == RequestPhase.WAITING || this.move.isSuspended();
		if (!wanted || this.permit.isHeld()) {
			this.permit.refuse(granted);
			return;
		}
		if (!granted.isValidAt(now())) {
			this.permit.refuse(granted);
			retry(RetryReason.PERMIT_LAPSED, Refusal.retryAfter(RefusalReason.OVERLOADED,
					"Permits lapsed before they could be used.", RETRY_AFTER));
			return;
		}
		this.permit.hold(granted);
		if (this.move.isSuspended()) {
			this.preemption.continueOn(granted);
			return;
		}
		this.records.dispatch(granted.backendServer().id(), this.scheduling.id().value(), this.scheduling.deadline())
			.whenComplete((decision, failure) -> this.executor.execute(() -> onDecision(decision, failure)));
	}

	private void onDecision(@Nullable DispatchDecision decision, @Nullable Throwable failure) {
		if (decision instanceof DispatchDecision.Won) {
			onWon(Objects.requireNonNull(this.permit.permit(), "permit is held until the decision"));
			return;
		}
		this.permit.release(RunMeasurement.none(RunEnd.UNUSED));
		if (decision instanceof DispatchDecision.Lost) {
			this.life.tryEnter(RequestPhase.FAILED);
			JoinedAnswer.follow(this.services, this.request, this.sink, this.executor, this::finishRun);
			return;
		}
		Refusal refusal = (decision instanceof DispatchDecision.Refused refused) ? refused.refusal()
				: Refusal.of(RefusalReason.JOURNAL_UNSETTLED, "The journal failed: " + failure);
		enterFinal(RequestPhase.FAILED);
		this.sink.refuse(refusal);
		finishRun();
	}

	private void onWon(Permit won) {
		Instant now = now();
		if (this.callerLeft && !this.request.durable()) {
			this.permit.release(RunMeasurement.none(RunEnd.UNUSED));
			refuseUnsent(RequestPhase.CANCELLED, RunVerdict.callerGone(Outcome.NOT_RUN));
		}
		else if (this.preempted || !won.isValidAt(now) || !now.isBefore(this.scheduling.deadline())) {
			this.permit.release(RunMeasurement.none(RunEnd.UNUSED));
			refuseUnsent(RequestPhase.FAILED, Refusal.retryAfter(RefusalReason.JOURNAL_BUSY,
					"The permit was gone when the journal had recorded the dispatch.", RETRY_AFTER));
		}
		else {
			dispatch(won, now);
		}
	}

	private void dispatch(Permit won, Instant now) {
		if (!this.life.tryEnter(RequestPhase.DISPATCHED)) {
			throw new IllegalStateException("request must wait before it is dispatched, found " + this.life.phase());
		}
		this.cancelDeadline.run();
		this.relay.begin(RunMeter.dispatched(now, this.scheduling.estimate()));
		BackendRequest sent = new BackendRequest(this.scheduling.id().value(), this.request.method(),
				this.request.pathAndQuery(), this.request.headers(), this.request.body(), this.scheduling.deadline());
		RunAttempt attempt = new RunAttempt(this, this.executor, false);
		this.exchange.expect(attempt);
		this.exchange.began(this.services.engines().send(won.backendServer(), sent, attempt));
	}

	boolean isCurrent(RunAttempt candidate) {
		return this.exchange.isOf(candidate);
	}

	void onHead(int status, List<Map.Entry<String, String>> fields) {
		this.relay.head(status, fields);
	}

	void onChunk(ByteBuffer bytes) {
		this.move.received(bytes.remaining());
		if (!this.relay.chunk(bytes, now()) && !this.callerLeft) {
			this.exchange.pause();
		}
	}

	void onEnd() {
		RunVerdict rejection = this.relay.rejection();
		if (rejection != null) {
			fail(rejection, BackendFailure.NOT_SUPPORTED);
			return;
		}
		enterFinal(RequestPhase.COMPLETED);
		this.move.close();
		this.permit.release(this.relay.measurement(RunEnd.COMPLETED, now()));
		this.records.finish(Outcome.COMPLETED, this.relay.complete(now()));
		finishRun();
	}

	void onExchangeLost(BackendException lost) {
		RunAttempt held = this.exchange.attempt();
		if (held != null) {
			onFailed(held, lost);
		}
	}

	void onFailed(RunAttempt failed, BackendException failure) {
		if (this.preemption.holdsBack(failure)) {
			return;
		}
		if (failed.isResumed() && failure.failure().isCertainlyUnsent()) {
			failMoved();
			return;
		}
		if (this.life.tryReturnToWaiting(failure.failure())) {
			this.exchange.forget();
			this.permit.release(RunMeasurement.none(RunEnd.NOT_CONNECTED));
			onNotConnected(failure);
			return;
		}
		LOG.debug("run.failed", "request", this.scheduling.id(), "failure", failure.failure(), "message",
				failure.getMessage());
		RunVerdict rejection = this.relay.rejection();
		fail((rejection != null) ? rejection : RunVerdict.of(failure.failure(), this.preempted), failure.failure());
	}

	private void onNotConnected(BackendException failure) {
		Refusal refusal = RunVerdict.of(failure.failure(), false).refusal();
		if (this.preempted || (this.callerLeft && !this.request.durable())) {
			refuseUnsent(RequestPhase.FAILED, refusal);
		}
		else {
			retry(RetryReason.CONNECT_FAILED, refusal);
		}
	}

	private void fail(RunVerdict verdict, BackendFailure failure) {
		if (!this.life.tryEnter((failure == BackendFailure.CANCELLED) ? RequestPhase.CANCELLED : RequestPhase.FAILED)) {
			return;
		}
		this.permit.release(this.relay.measurement(verdict.end(), now()));
		this.relay.fail(verdict);
		this.move.close();
		this.records.finish(Outcome.UNKNOWN, null);
		finishRun();
	}

	private void onDeadline() {
		if (this.life.phase() == RequestPhase.DISPATCHED && (this.move.isSuspended() || this.move.hasMoved())) {
			this.permit.stopAsking();
			fail(RunVerdict.of(BackendFailure.TIMED_OUT, false), BackendFailure.TIMED_OUT);
			this.exchange.cancel();
			return;
		}
		if (this.life.phase() == RequestPhase.WAITING && !this.permit.isHeld()) {
			this.permit.stopAsking();
			refuseUnsent(RequestPhase.FAILED, Refusal.retryAfter(RefusalReason.DEADLINE_PASSED,
					"The deadline passed while the request waited.", RETRY_AFTER));
		}
	}

	private void refuseUnsent(RequestPhase end, Refusal refusal) {
		enterFinal(end);
		new UnsentEnd(this.services, this.request, this.sink, this.executor, this::finishRun).tell(refusal,
				this.records.release(refusal));
	}

	private void retry(RetryReason reason, Refusal otherwise) {
		if (!now().isBefore(this.scheduling.deadline())) {
			onDeadline();
			return;
		}
		Refusal refusal = this.retries.take(reason, otherwise);
		if (refusal == null) {
			submit();
		}
		else if (this.life.phase() == RequestPhase.DISPATCHED) {
			failMoved();
		}
		else {
			refuseUnsent(RequestPhase.FAILED, refusal);
		}
	}

	private void enterFinal(RequestPhase phase) {
		if (!this.life.tryEnter(phase)) {
			throw new IllegalStateException("%s must not follow %s".formatted(phase, this.life.phase()));
		}
	}

	private void finishRun() {
		this.cancelDeadline.run();
		this.whenEnded.run();
	}

	private Instant now() {
		return this.services.clock().instant();
	}

}
