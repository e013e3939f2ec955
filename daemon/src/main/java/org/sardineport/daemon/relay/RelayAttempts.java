package org.sardineport.daemon.relay;

import java.time.Duration;
import java.time.Instant;
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
import org.sardineport.core.backend.BackendServer;
import org.sardineport.core.exchange.RefusedException;
import org.sardineport.core.identity.BackendServerId;
import org.sardineport.core.identity.PoolName;
import org.sardineport.core.quarantine.StrikeKey;
import org.sardineport.core.relay.AttemptEnd;
import org.sardineport.core.relay.RequestProgress;
import org.sardineport.core.relay.ResponseHead;
import org.sardineport.core.request.Refusal;

/**
 * The attempts at one request, as far as the route and the retry budget allow. An attempt
 * that fails is followed by another. One whose backend server is silent goes on, and a
 * replacement is made beside it; the first of the two to send data is kept. Confined to
 * the event loop.
 */
final class RelayAttempts implements AttemptListener {

	/** Minimum remaining time for which another attempt is worthwhile. */
	private static final Duration MIN_ATTEMPT_TIME = Duration.ofMillis(20);

	private final RelayServices services;

	private final RelayRequest request;

	private final Context context;

	private final PoolName pool;

	private final RequestProgress progress;

	private final AttemptPlanner planner;

	private final ResponseVersion version;

	private final RelayRunReport report;

	private final RelayAttemptsListener listener;

	private @Nullable SchedulingRequest pendingRequest;

	/** The only attempt, or the one that is silent. */
	private @Nullable PermittedAttempt current;

	/** Attempt beside a silent one; takes its place when it sends data first. */
	private @Nullable PermittedAttempt replacement;

	private long lastEventId = -1;

	private long retrySpentAtMillis;

	RelayAttempts(RelayServices services, RelayRequest request, PoolName pool, RequestProgress progress,
			AttemptPlanner planner, ResponseVersion version, RelayRunReport report, RelayAttemptsListener listener) {
		this.services = services;
		this.request = request;
		this.context = services.vertx().getOrCreateContext();
		this.pool = pool;
		this.progress = progress;
		this.planner = planner;
		this.version = version;
		this.report = report;
		this.listener = listener;
	}

	void start() {
		this.services.retryAllowance().requested(this.pool, this.services.clock().millis());
		requestPermit();
	}

	/**
	 * Returns the backend server of the attempt that goes on.
	 * @return the backend server, or {@code null} while the request waits for a permit
	 */
	@Nullable BackendServerId runningOn() {
		return (this.current != null) ? this.current.server() : null;
	}

	private void requestPermit() {
		SchedulingRequest schedulingRequest = this.version
			.restrict(this.planner.schedulingRequest(this.services.schedulingIds().get(), this.progress));
		this.pendingRequest = schedulingRequest;
		this.services.scheduler().submit(schedulingRequest, new EventLoopListener(schedulingRequest));
	}

	private void granted(SchedulingRequest schedulingRequest, Permit grantedPermit) {
		if (this.pendingRequest != schedulingRequest) {
			this.services.scheduler().release(grantedPermit, RunMeasurement.none(RunEnd.UNUSED));
			return;
		}
		this.pendingRequest = null;
		try {
			this.services.gate().recheck(this.request.admission());
			if (!grantedPermit.isValidAt(now()) || !isUsable(grantedPermit)) {
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

	private boolean isUsable(Permit grantedPermit) {
		BackendServer server = grantedPermit.backendServer();
		return this.services.fleet().current().backendServers().contains(server)
				&& this.version.allows(server.softwareVersion());
	}

	private void permitRefused(Refusal refusal) {
		if (this.current == null) {
			this.listener.permitRefused(refusal);
		}
		else {
			refundRetry();
			this.report.replacementEnded(refusal.reason().label() + ": " + refusal.detail());
		}
	}

	private void dispatch(Permit permit) {
		this.progress.sent();
		this.report.dispatched(permit.backendServer());
		this.version.dispatched(permit.backendServer().softwareVersion());
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
	 * @return the attempt with its permit
	 */
	private PermittedAttempt keepOnly(Attempt attempt) {
		PermittedAttempt former = this.current;
		PermittedAttempt other = this.replacement;
		if (former != null && former.attempt() == attempt) {
			endReplacement();
			return former;
		}
		if (former == null || other == null) {
			throw new IllegalStateException("the attempt must not have ended");
		}
		this.current = other;
		this.replacement = null;
		former.attempt().abort();
		endReplaced(former);
		return other;
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
			this.listener.errorReceived(head, headers, body);
			failed(attempt, AttemptEnd.FAILED, "status " + head.status());
			return;
		}
		keepOnly(attempt);
		releaseCurrent(RunEnd.COMPLETED);
		this.listener.responseReceived(head, headers, body);
	}

	@Override
	public void responseStarted(Attempt attempt, ResponseHead head, MultiMap headers) {
		PermittedAttempt kept = keepOnly(attempt);
		this.version.begun(kept.permit().backendServer().softwareVersion());
		this.listener.responseStarted(head, headers);
	}

	@Override
	public void dataReceived(Attempt attempt, Buffer bytes) {
		keepOnly(attempt);
		this.listener.dataReceived(attempt, bytes);
	}

	@Override
	public void responseCompleted(Attempt attempt) {
		keepOnly(attempt);
		releaseCurrent(RunEnd.COMPLETED);
		this.listener.responseCompleted();
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
			this.listener.attemptsExhausted(end, detail);
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
		if (!isTimeLeft() || !this.progress.mayRetry()) {
			return false;
		}
		return end == AttemptEnd.NOT_CONNECTED || spendRetry();
	}

	private boolean isTimeLeft() {
		return now().plus(RelayRun.RESPONSE_MARGIN).plus(MIN_ATTEMPT_TIME).isBefore(this.request.deadline());
	}

	private boolean spendRetry() {
		int daemons = Math.max(1, this.services.fleet().current().members().size());
		this.retrySpentAtMillis = this.services.clock().millis();
		return this.services.retryAllowance().trySpend(this.pool, daemons, this.retrySpentAtMillis);
	}

	private void refundRetry() {
		this.services.retryAllowance().refund(this.pool, this.retrySpentAtMillis, this.services.clock().millis());
	}

	/**
	 * Ends all attempts and the wait for a permit. Nothing is called any more.
	 * @param runEnd returns how the run of an attempt ended
	 */
	void abort(Function<Attempt, RunEnd> runEnd) {
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

	private Instant now() {
		return this.services.clock().instant();
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
			RelayAttempts.this.context
				.runOnContext((ignored) -> RelayAttempts.this.granted(this.schedulingRequest, grantedPermit));
		}

		@Override
		public void refused(Refusal refusal) {
			RelayAttempts.this.context.runOnContext((ignored) -> {
				if (RelayAttempts.this.pendingRequest == this.schedulingRequest) {
					RelayAttempts.this.pendingRequest = null;
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
