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
import org.sardineport.core.exchange.RequestLifecycle;
import org.sardineport.core.exchange.RequestPhase;
import org.sardineport.core.exchange.RunVerdict;
import org.sardineport.core.journal.DispatchDecision;
import org.sardineport.core.port.backend.BackendException;
import org.sardineport.core.port.backend.BackendFailure;
import org.sardineport.core.port.backend.Exchange;
import org.sardineport.core.request.Outcome;
import org.sardineport.core.request.Refusal;
import org.sardineport.core.request.RefusalReason;
import org.sardineport.core.request.RetryReason;
import org.sardineport.daemon.telemetry.EventLog;

/**
 * Runs one request, from waiting for a permit to the last byte of the response. State is
 * accessed on the run's executor only.
 */
final class RequestRun {

	private static final EventLog LOG = EventLog.of(RequestRun.class);

	private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

	private final RunServices services;

	private final RunRequest request;

	private final SchedulingRequest scheduling;

	private final ResponseSink sink;

	private final SerialExecutor executor;

	private final DispatchRecorder recorder;

	private final Runnable whenEnded;

	private final RequestLifecycle life = RequestLifecycle.create();

	private final ResponseRelay relay;

	private final PermitHolder permit;

	private final PermitListener permitListener;

	private final Preemption preemption;

	private final StreamMigration migration;

	private final RunRetries retries;

	private final UnsentRequestCompletion unsentCompletion;

	private final DispatchedRequestCompletion completion;

	private final CurrentExchange exchange = new CurrentExchange();

	private Runnable cancelDeadline = () -> {
	};

	private boolean preempted;

	private boolean callerDisconnected;

	RequestRun(RunServices services, RunRequest request, ResponseSink sink, SerialExecutor executor,
			DispatchRecorder recorder, Runnable whenEnded) {
		this.services = services;
		this.request = request;
		this.scheduling = request.scheduling();
		this.sink = sink;
		this.executor = executor;
		this.recorder = recorder;
		this.whenEnded = whenEnded;
		this.permit = new PermitHolder(services.scheduler(), this.scheduling);
		this.permitListener = new RunPermitListener(this, executor);
		this.retries = new RunRetries(services);
		this.relay = new ResponseRelay(this.scheduling, sink, services.telemetry(), recorder.maxResponseBytes());
		this.preemption = new Preemption(this, services, this.scheduling, executor);
		this.migration = this.preemption.migration();
		this.unsentCompletion = new UnsentRequestCompletion(services, request, sink, executor, this::finishRun);
		this.completion = new DispatchedRequestCompletion(this.life, this.permit, this.relay, this.migration, recorder,
				services.clock(), this::finishRun);
	}

	void start() {
		this.life.tryEnter(RequestPhase.ADMITTED);
		this.life.tryEnter(RequestPhase.WAITING);
		this.sink.whenDrained(this.exchange::resume);
		submit();
	}

	private void submit() {
		Duration remaining = Duration.between(now(), this.scheduling.deadline());
		this.cancelDeadline.run();
		this.cancelDeadline = this.executor.schedule(remaining, this::onDeadline);
		this.permit.submit(this.permitListener);
	}

	void callerDisconnected() {
		this.callerDisconnected = true;
		if (this.life.phase() == RequestPhase.DISPATCHED) {
			onDisconnectAfterDispatch();
		}
		else if (this.life.phase() == RequestPhase.WAITING && !this.permit.isHeld() && !this.request.durable()) {
			this.permit.abandon();
			refuseUnsent(RequestPhase.CANCELLED, RunVerdict.callerGone(Outcome.NOT_RUN));
		}
	}

	private void onDisconnectAfterDispatch() {
		if (this.recorder.continuesAfterDisconnect()) {
			this.exchange.resume();
		}
		else if (this.migration.isSuspended()) {
			this.permit.abandon();
			this.completion.fail(BackendFailure.CANCELLED, false);
		}
		else {
			this.exchange.cancel();
		}
	}

	void onRefused(Refusal refusal) {
		if (this.life.phase() == RequestPhase.WAITING && !this.permit.isHeld()) {
			refuseUnsent(RequestPhase.FAILED, refusal);
		}
		else if (this.migration.isSuspended() && !this.permit.isHeld()) {
			this.preemption.refused(refusal);
		}
	}

	void onPreempted(Permit revoked) {
		if (!this.permit.holds(revoked)) {
			return;
		}
		if (this.life.phase() == RequestPhase.DISPATCHED) {
			this.preemption.preempt(revoked);
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
	 * Detaches from the backend server after the stream's cache was exported to this
	 * daemon, and requests another permit.
	 * @return whether the run continues
	 */
	boolean suspend() {
		this.exchange.detach();
		if (this.life.phase() != RequestPhase.DISPATCHED) {
			return false;
		}
		this.permit.release(this.relay.measurement(RunEnd.CANCELLED, now()));
		if (this.callerDisconnected && !this.recorder.continuesAfterDisconnect()) {
			this.completion.fail(BackendFailure.CANCELLED, false);
			return false;
		}
		submit();
		return true;
	}

	void submitSuspended() {
		if (this.migration.isSuspended() && !this.permit.isHeld()) {
			submit();
		}
	}

	void resumed(RunAttempt resumed, Exchange continued) {
		this.relay.startMeter(RunMeter.resumed(now(), this.scheduling.estimate()));
		this.exchange.begin(resumed);
		this.exchange.attach(continued);
	}

	void failMigration() {
		this.completion.fail(BackendFailure.CANCELLED, true);
	}

	void onGranted(Permit granted) {
		boolean wanted = this.life.phase() == RequestPhase.WAITING || this.migration.isSuspended();
		if (!wanted || this.permit.isHeld()) {
			this.permit.returnUnused(granted);
			return;
		}
		if (!granted.isValidAt(now())) {
			this.permit.returnUnused(granted);
			retry(RetryReason.PERMIT_LAPSED, Refusal.retryAfter(RefusalReason.OVERLOADED,
					"Permits lapsed before they could be used.", RETRY_AFTER));
			return;
		}
		this.permit.hold(granted);
		if (this.migration.isSuspended()) {
			this.preemption.resumeOn(granted);
			return;
		}
		this.recorder.dispatch(granted.backendServer().id(), this.scheduling.id().value(), this.scheduling.deadline())
			.whenComplete((decision, failure) -> this.executor.execute(() -> onDecision(decision, failure)));
	}

	private void onDecision(@Nullable DispatchDecision decision, @Nullable Throwable failure) {
		if (decision instanceof DispatchDecision.Won) {
			onDispatchAllowed(
					Objects.requireNonNull(this.permit.permit(), "permit must be held until the dispatch decision"));
			return;
		}
		this.permit.release(RunMeasurement.none(RunEnd.UNUSED));
		if (decision instanceof DispatchDecision.Lost) {
			this.life.tryEnter(RequestPhase.FAILED);
		}
		else {
			enterFinal(RequestPhase.FAILED);
		}
		this.unsentCompletion.completeUndispatched(decision, failure);
	}

	private void onDispatchAllowed(Permit granted) {
		Instant now = now();
		if (this.callerDisconnected && !this.request.durable()) {
			this.permit.release(RunMeasurement.none(RunEnd.UNUSED));
			refuseUnsent(RequestPhase.CANCELLED, RunVerdict.callerGone(Outcome.NOT_RUN));
		}
		else if (this.preempted || !granted.isValidAt(now) || !now.isBefore(this.scheduling.deadline())) {
			this.permit.release(RunMeasurement.none(RunEnd.UNUSED));
			refuseUnsent(RequestPhase.FAILED, Refusal.retryAfter(RefusalReason.JOURNAL_BUSY,
					"The permit was gone when the journal had recorded the dispatch.", RETRY_AFTER));
		}
		else {
			dispatch(granted, now);
		}
	}

	private void dispatch(Permit granted, Instant now) {
		if (!this.life.tryEnter(RequestPhase.DISPATCHED)) {
			throw new IllegalStateException(
					"request must be waiting before it is dispatched, found " + this.life.phase());
		}
		this.cancelDeadline.run();
		this.relay.startMeter(RunMeter.dispatched(now, this.scheduling.estimate()));
		RunAttempt attempt = new RunAttempt(this, this.executor, false);
		this.exchange.begin(attempt);
		this.exchange
			.attach(this.services.engines().send(granted.backendServer(), this.request.backendRequest(), attempt));
	}

	boolean isCurrent(RunAttempt candidate) {
		return this.exchange.isCurrent(candidate);
	}

	void onHead(int status, List<Map.Entry<String, String>> fields) {
		this.relay.head(status, fields);
	}

	void onChunk(ByteBuffer bytes) {
		this.migration.addReceived(bytes.remaining());
		if (!this.relay.chunk(bytes, now()) && !this.callerDisconnected) {
			this.exchange.pause();
		}
	}

	void onEnd() {
		this.completion.complete();
	}

	void onExchangeFailed(BackendException failure) {
		RunAttempt current = this.exchange.attempt();
		if (current != null) {
			onFailed(current, failure);
		}
	}

	void onFailed(RunAttempt failed, BackendException failure) {
		if (this.preemption.deferFailure(failure)) {
			return;
		}
		if (failed.isResumed() && failure.failure().isCertainlyUnsent()) {
			failMigration();
			return;
		}
		if (this.life.tryReturnToWaiting(failure.failure())) {
			this.exchange.clear();
			this.permit.release(RunMeasurement.none(RunEnd.NOT_CONNECTED));
			onNotConnected(failure);
			return;
		}
		LOG.debug("run.failed", "request", this.scheduling.id(), "failure", failure.failure(), "message",
				failure.getMessage());
		this.completion.failExchange(failure.failure(), this.preempted);
	}

	private void onNotConnected(BackendException failure) {
		Refusal refusal = RunVerdict.of(failure.failure(), false).refusal();
		if (this.preempted || (this.callerDisconnected && !this.request.durable())) {
			refuseUnsent(RequestPhase.FAILED, refusal);
		}
		else {
			retry(RetryReason.CONNECT_FAILED, refusal);
		}
	}

	private void onDeadline() {
		if (this.life.phase() == RequestPhase.DISPATCHED
				&& (this.migration.isSuspended() || this.migration.hasMigrated())) {
			this.permit.abandon();
			this.completion.fail(BackendFailure.TIMED_OUT, false);
			this.exchange.cancel();
			return;
		}
		if (this.life.phase() == RequestPhase.WAITING && !this.permit.isHeld()) {
			this.permit.abandon();
			refuseUnsent(RequestPhase.FAILED, Refusal.retryAfter(RefusalReason.DEADLINE_PASSED,
					"The deadline passed while the request waited.", RETRY_AFTER));
		}
	}

	private void refuseUnsent(RequestPhase end, Refusal refusal) {
		enterFinal(end);
		this.unsentCompletion.complete(refusal, this.recorder.release(refusal));
	}

	private void retry(RetryReason reason, Refusal fallback) {
		if (!now().isBefore(this.scheduling.deadline())) {
			onDeadline();
			return;
		}
		Refusal refusal = this.retries.take(reason, fallback);
		if (refusal == null) {
			submit();
		}
		else if (this.life.phase() == RequestPhase.DISPATCHED) {
			failMigration();
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
