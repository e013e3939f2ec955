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
import org.sardineport.core.exchange.HeaderNames;
import org.sardineport.core.exchange.RequestLife;
import org.sardineport.core.exchange.RequestPhase;
import org.sardineport.core.exchange.RunVerdict;
import org.sardineport.core.journal.DispatchDecision;
import org.sardineport.core.port.backend.AnswerListener;
import org.sardineport.core.port.backend.BackendException;
import org.sardineport.core.port.backend.BackendFailure;
import org.sardineport.core.port.backend.BackendRequest;
import org.sardineport.core.port.backend.Exchange;
import org.sardineport.core.request.Outcome;
import org.sardineport.core.request.Refusal;
import org.sardineport.core.request.RefusalReason;
import org.sardineport.core.request.RetryReason;
import org.sardineport.daemon.telemetry.EventLog;
import org.sardineport.daemon.telemetry.Telemetry;

/**
 * One request from its wait for a permit to its last byte. All state is touched on the
 * run's executor only; callbacks may come on any thread.
 */
final class RequestRun implements PermitListener, AnswerListener {

	private static final EventLog LOG = EventLog.of(RequestRun.class);

	private static final int MAXIMUM_CONNECT_RETRIES = 3;

	private static final int FIRST_SERVER_ERROR = 500;

	private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

	private final RunServices services;

	private final RunRequest request;

	private final SchedulingRequest scheduling;

	private final AnswerSink sink;

	private final SerialExecutor executor;

	private final DispatchRecords records;

	private final Runnable whenEnded;

	private final RequestLife life = RequestLife.create();

	private final AnswerRecorder recorder;

	private @Nullable Permit permit;

	private @Nullable Exchange exchange;

	private @Nullable RunMeter meter;

	private @Nullable RunVerdict rejection;

	private Runnable cancelDeadline = () -> {
	};

	private boolean preempted;

	private boolean callerLeft;

	private int connectRetries;

	RequestRun(RunServices services, RunRequest request, AnswerSink sink, SerialExecutor executor,
			DispatchRecords records, Runnable whenEnded) {
		this.services = services;
		this.request = request;
		this.scheduling = request.scheduling();
		this.sink = sink;
		this.executor = executor;
		this.records = records;
		this.whenEnded = whenEnded;
		this.recorder = new AnswerRecorder(records.maximumAnswerBytes());
	}

	void start() {
		this.life.tryEnter(RequestPhase.ADMITTED);
		this.life.tryEnter(RequestPhase.WAITING);
		this.sink.whenDrained(this::resumeExchange);
		Duration left = Duration.between(this.services.clock().instant(), this.scheduling.deadline());
		this.cancelDeadline = this.executor.schedule(left, this::onDeadline);
		this.services.scheduler().submit(this.scheduling, this);
	}

	void callerLeft() {
		this.callerLeft = true;
		if (this.life.phase() == RequestPhase.DISPATCHED) {
			if (this.records.outlivesCaller()) {
				resumeExchange();
			}
			else {
				cancelExchange();
			}
		}
		else if (this.life.phase() == RequestPhase.WAITING && this.permit == null && !this.request.durable()) {
			this.services.scheduler().abandon(this.scheduling.id());
			refuseUnsent(RequestPhase.CANCELLED, RunVerdict.callerGone(Outcome.NOT_RUN));
		}
	}

	@Override
	public void granted(Permit granted) {
		this.executor.execute(() -> onGranted(granted));
	}

	@Override
	public void refused(Refusal refusal) {
		this.executor.execute(() -> {
			if (this.life.phase() == RequestPhase.WAITING && this.permit == null) {
				refuseUnsent(RequestPhase.FAILED, refusal);
			}
		});
	}

	@Override
	public void preempted(Permit taken) {
		this.executor.execute(() -> {
			if (taken.equals(this.permit)) {
				this.preempted = true;
				cancelExchange();
			}
		});
	}

	private void onGranted(Permit granted) {
		if (this.life.phase() != RequestPhase.WAITING || this.permit != null) {
			giveBack(granted);
			return;
		}
		if (!granted.isValidAt(this.services.clock().instant())) {
			giveBack(granted);
			retry(RetryReason.PERMIT_LAPSED);
			return;
		}
		this.permit = granted;
		this.records.dispatch(granted.backendServer().id(), streamId(), this.scheduling.deadline())
			.whenComplete((decision, failure) -> this.executor.execute(() -> onDecision(decision, failure)));
	}

	private void onDecision(@Nullable DispatchDecision decision, @Nullable Throwable failure) {
		if (decision instanceof DispatchDecision.Won) {
			onWon(Objects.requireNonNull(this.permit, "permit is held until the decision"));
			return;
		}
		returnPermit(RunMeasurement.none(RunEnd.UNUSED));
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
		Instant now = this.services.clock().instant();
		if (this.callerLeft && !this.request.durable()) {
			returnPermit(RunMeasurement.none(RunEnd.UNUSED));
			refuseUnsent(RequestPhase.CANCELLED, RunVerdict.callerGone(Outcome.NOT_RUN));
		}
		else if (this.preempted || !won.isValidAt(now) || !now.isBefore(this.scheduling.deadline())) {
			returnPermit(RunMeasurement.none(RunEnd.UNUSED));
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
		this.meter = new RunMeter(now, this.scheduling.estimate());
		BackendRequest sent = new BackendRequest(streamId(), this.request.method(), this.request.pathAndQuery(),
				this.request.headers(), this.request.body(), this.scheduling.deadline());
		this.exchange = this.services.backends().send(won.backendServer(), sent, this);
	}

	@Override
	public void head(int status, List<Map.Entry<String, String>> headers) {
		this.executor.execute(() -> onHead(status, HeaderNames.forCaller(headers)));
	}

	private void onHead(int status, List<Map.Entry<String, String>> headers) {
		if (status >= FIRST_SERVER_ERROR) {
			this.rejection = RunVerdict.rejected(status);
			this.sink.refuse(this.rejection.refusal());
			return;
		}
		this.recorder.head(status, headers);
		this.sink.head(status, headers);
	}

	@Override
	public void chunk(ByteBuffer bytes) {
		ByteBuffer copy = ByteBuffer.allocate(bytes.remaining()).put(bytes).flip();
		this.executor.execute(() -> onChunk(copy));
	}

	private void onChunk(ByteBuffer bytes) {
		if (this.meter == null || this.rejection != null) {
			return;
		}
		Instant now = this.services.clock().instant();
		if (this.meter.chunk(bytes, now)) {
			telemetry().timeToFirstByte(this.scheduling.tier())
				.update(Duration.between(this.scheduling.arrival(), now));
		}
		this.recorder.chunk(bytes);
		if (!this.sink.chunk(bytes) && !this.callerLeft && this.exchange != null) {
			this.exchange.pause();
		}
	}

	@Override
	public void end() {
		this.executor.execute(this::onEnd);
	}

	private void onEnd() {
		if (this.rejection != null) {
			fail(this.rejection, BackendFailure.NOT_SUPPORTED);
			return;
		}
		enterFinal(RequestPhase.COMPLETED);
		this.sink.end();
		Instant now = this.services.clock().instant();
		telemetry().completed(this.scheduling.tier()).inc();
		telemetry().duration(this.scheduling.tier()).update(Duration.between(this.scheduling.arrival(), now));
		this.records.finish(Outcome.COMPLETED, this.recorder.answer());
		returnPermit(measurement(RunEnd.COMPLETED));
		finishRun();
	}

	@Override
	public void failed(BackendException failure) {
		this.executor.execute(() -> onFailed(failure));
	}

	private void onFailed(BackendException failure) {
		if (this.life.tryReturnToWaiting(failure.failure())) {
			this.exchange = null;
			returnPermit(RunMeasurement.none(RunEnd.NOT_CONNECTED));
			onNotConnected(failure);
			return;
		}
		LOG.debug("run.failed", "request", this.scheduling.id(), "failure", failure.failure(), "message",
				failure.getMessage());
		RunVerdict verdict = (this.rejection != null) ? this.rejection
				: RunVerdict.of(failure.failure(), this.preempted);
		fail(verdict, failure.failure());
	}

	private void onNotConnected(BackendException failure) {
		boolean keyed = this.request.key() != null;
		if (keyed || this.preempted || this.callerLeft || this.connectRetries >= MAXIMUM_CONNECT_RETRIES) {
			refuseUnsent(RequestPhase.FAILED, RunVerdict.of(failure.failure(), false).refusal());
		}
		else if (!this.services.retryBudget().trySpend()) {
			refuseUnsent(RequestPhase.FAILED, Refusal.retryAfter(RefusalReason.RETRY_BUDGET_SPENT,
					"No connection to a backend server could be made.", RETRY_AFTER));
		}
		else {
			this.connectRetries++;
			retry(RetryReason.CONNECT_FAILED);
		}
	}

	private void fail(RunVerdict verdict, BackendFailure failure) {
		if (!this.life.tryEnter((failure == BackendFailure.CANCELLED) ? RequestPhase.CANCELLED : RequestPhase.FAILED)) {
			return;
		}
		if (this.rejection == null) {
			this.sink.refuse(verdict.refusal());
		}
		if (this.meter != null) {
			telemetry().counter("prefill.wasted-tokens").inc(this.meter.promptTokens());
		}
		this.records.finish(Outcome.UNKNOWN, null);
		returnPermit(measurement(verdict.end()));
		finishRun();
	}

	private void onDeadline() {
		if (this.life.phase() == RequestPhase.WAITING && this.permit == null) {
			this.services.scheduler().abandon(this.scheduling.id());
			refuseUnsent(RequestPhase.FAILED, Refusal.retryAfter(RefusalReason.DEADLINE_PASSED,
					"The deadline passed while the request waited.", RETRY_AFTER));
		}
	}

	private void refuseUnsent(RequestPhase end, Refusal refusal) {
		enterFinal(end);
		this.records.release(refusal);
		this.sink.refuse(refusal);
		finishRun();
	}

	private void retry(RetryReason reason) {
		telemetry().retried(reason).inc();
		if (!this.services.clock().instant().isBefore(this.scheduling.deadline())) {
			onDeadline();
			return;
		}
		Duration left = Duration.between(this.services.clock().instant(), this.scheduling.deadline());
		this.cancelDeadline.run();
		this.cancelDeadline = this.executor.schedule(left, this::onDeadline);
		this.services.scheduler().submit(this.scheduling, this);
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

	private void giveBack(Permit unused) {
		this.services.scheduler().release(unused, RunMeasurement.none(RunEnd.UNUSED));
	}

	private void returnPermit(RunMeasurement measurement) {
		Permit held = this.permit;
		if (held != null) {
			this.permit = null;
			this.services.scheduler().release(held, measurement);
		}
	}

	private RunMeasurement measurement(RunEnd end) {
		return (this.meter != null) ? this.meter.measurement(end, this.services.clock().instant())
				: RunMeasurement.none(end);
	}

	private void cancelExchange() {
		if (this.exchange != null) {
			this.exchange.cancel();
		}
	}

	private void resumeExchange() {
		if (this.exchange != null) {
			this.exchange.resume();
		}
	}

	private String streamId() {
		return this.scheduling.id().value();
	}

	private Telemetry telemetry() {
		return this.services.telemetry();
	}

}
