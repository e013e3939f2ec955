package org.sardineport.daemon.relay;

import java.time.Duration;
import java.time.Instant;
import java.util.Objects;

import io.vertx.core.Context;
import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import org.jspecify.annotations.Nullable;
import org.sardineport.core.admission.RunEnd;
import org.sardineport.core.identity.PoolName;
import org.sardineport.core.relay.AttemptEnd;
import org.sardineport.core.relay.RelayAdmission;
import org.sardineport.core.relay.RequestProgress;
import org.sardineport.core.relay.ResponseHead;
import org.sardineport.core.request.Refusal;
import org.sardineport.core.request.RefusalReason;
import org.sardineport.core.request.Tier;
import org.sardineport.core.stream.StreamOrigin;

/**
 * Runs one admitted request up to its final response, and passes the response on. A
 * response that has begun is closed only if no attempt is left that could continue it, or
 * at the time limit. Confined to the event loop.
 */
final class RelayRun implements RelayAttemptsListener {

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

	private final RequestProgress progress;

	private final PoolName pool;

	private final AttemptPlanner planner;

	private final RelayRunReport report;

	private final ResponseVersion version;

	private final RelayAttempts attempts;

	private @Nullable ErrorResponse lastErrorResponse;

	private @Nullable ResponseHead startedResponse;

	private long deadlineTimer = -1;

	private boolean finished;

	RelayRun(RelayServices services, RelayRequest request, CallerResponse response) {
		this.services = services;
		this.request = request;
		this.response = response;
		RelayAdmission admission = request.admission();
		Tier tier = admission.tier();
		this.pool = admission.route().pool(services.random().nextDouble());
		this.progress = RequestProgress.of(admission.route());
		this.planner = new AttemptPlanner(services, request, this.pool, tier);
		this.report = new RelayRunReport(services, request, this.progress, tier);
		this.version = new ResponseVersion(services, request, this.planner.owner());
		this.attempts = new RelayAttempts(services, request, this.pool, this.progress, this.planner, this.version,
				this.report, this);
	}

	void start() {
		Duration remaining = Duration.between(now(), this.request.latestResponse());
		this.deadlineTimer = this.services.vertx()
			.setTimer(Math.max(1, remaining.toMillis()), (id) -> deadlinePassed());
		if (this.version.isResumed()) {
			Context context = this.services.vertx().getOrCreateContext();
			this.version.find(this.pool).thenAccept((origin) -> context.runOnContext((ignored) -> resume(origin)));
		}
		else {
			this.attempts.start();
		}
	}

	private void resume(StreamOrigin origin) {
		if (this.finished) {
			return;
		}
		this.report.resumed(origin);
		if (origin.version().isEmpty()) {
			refused(Refusal.retryAfter(RefusalReason.STREAM_VERSION_UNKNOWN,
					"the software version that began the stream is " + origin, DEFAULT_RETRY_AFTER));
			return;
		}
		this.version.require(origin.version().get());
		this.attempts.start();
	}

	@Override
	public void responseReceived(ResponseHead head, MultiMap headers, Buffer body) {
		forward(head.status(), headers, body);
	}

	@Override
	public void errorReceived(ResponseHead head, MultiMap headers, Buffer body) {
		this.lastErrorResponse = head.impliesNotRun() ? null : new ErrorResponse(head.status(), headers, body);
	}

	private void forward(int status, MultiMap headers, Buffer body) {
		finish();
		this.report.answered(status,
				this.response.send(status, this.services.protocol().callerResponseHeaders(headers), body));
	}

	@Override
	public void responseStarted(ResponseHead head, MultiMap headers) {
		if (!this.progress.isResponseStarted()) {
			this.progress.responseStarted();
			this.startedResponse = head;
			this.report.responseStarted();
			this.response.begin(head.status(), this.services.protocol().callerResponseHeaders(headers));
		}
	}

	@Override
	public void dataReceived(Attempt attempt, Buffer bytes) {
		if (this.response.write(bytes)) {
			attempt.pause();
			this.response.onDrained(attempt::resume);
		}
	}

	@Override
	public void responseCompleted() {
		ResponseHead head = Objects.requireNonNull(this.startedResponse, "the response must have started");
		finish();
		this.report.answered(head.status(), this.response.end());
	}

	@Override
	public void attemptsExhausted(AttemptEnd end, String detail) {
		ErrorResponse errorResponse = this.lastErrorResponse;
		if (errorResponse != null && !this.progress.isResponseStarted() && end == AttemptEnd.FAILED) {
			forward(errorResponse.status(), errorResponse.headers(), errorResponse.body());
			return;
		}
		RefusalReason reason = this.progress.mayHaveRun() ? RefusalReason.BACKEND_FAILED : RefusalReason.OVERLOADED;
		refused(Refusal.retryAfter(reason, "the last attempt ended: " + end.label() + ", " + detail,
				DEFAULT_RETRY_AFTER));
	}

	@Override
	public void permitRefused(Refusal refusal) {
		refused(refusal);
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
				Refusal.retryAfter(refusal.reason(), refusal.detail(), returnTime());
			default -> refusal;
		};
	}

	private Duration returnTime() {
		PoolPause pause = PoolPause.now(this.services, this.pool, this.version);
		return pause.isWhole() ? this.services.returnTimes().afterPause(pause.untilFirst())
				: this.services.returnTimes().afterOverload(Duration.between(now(), this.request.deadline()));
	}

	private static Refusal asUnknownOutcome(Refusal refusal) {
		return switch (refusal.reason()) {
			case BACKEND_FAILED, BACKEND_TIMEOUT -> refusal;
			case QUARANTINED -> new Refusal(RefusalReason.BACKEND_FAILED, refusal.detail(),
					RefusalReason.BACKEND_FAILED.outcome(), refusal.retryAfter());
			default -> Refusal.retryAfter(RefusalReason.BACKEND_FAILED, refusal.detail(), DEFAULT_RETRY_AFTER);
		};
	}

	private void deadlinePassed() {
		if (this.finished) {
			return;
		}
		if (this.attempts.isEndUnconfirmed()) {
			this.attempts.acceptUnconfirmedEnd();
			return;
		}
		boolean running = this.attempts.isRunning();
		this.attempts.recordDuration();
		this.attempts.abort((attempt) -> RunEnd.TIMED_OUT);
		RefusalReason reason = running ? RefusalReason.BACKEND_TIMEOUT : RefusalReason.DEADLINE_PASSED;
		refused(Refusal.retryAfter(reason, "the time limit passed", DEFAULT_RETRY_AFTER));
	}

	/**
	 * Answers the request, as the daemon ends soon.
	 * @param refusal the refusal if the request has not run
	 */
	void daemonEnds(Refusal refusal) {
		if (this.finished) {
			return;
		}
		if (this.attempts.isEndUnconfirmed()) {
			this.attempts.acceptUnconfirmedEnd();
			return;
		}
		this.attempts.abort((attempt) -> RunEnd.CANCELLED);
		refused(refusal);
	}

	void callerDisconnected() {
		if (this.finished) {
			return;
		}
		finish();
		this.report.callerDisconnected();
		this.attempts.abort((attempt) -> (attempt.silence().compareTo(UNRESPONSIVE_AFTER) >= 0) ? RunEnd.TIMED_OUT
				: RunEnd.CANCELLED);
		this.response.callerDisconnected();
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

}
