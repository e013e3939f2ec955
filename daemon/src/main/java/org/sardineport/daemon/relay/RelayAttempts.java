package org.sardineport.daemon.relay;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

import io.vertx.core.Context;
import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import org.jspecify.annotations.Nullable;
import org.sardineport.core.admission.Permit;
import org.sardineport.core.admission.RunEnd;
import org.sardineport.core.backend.BackendServer;
import org.sardineport.core.identity.PoolName;
import org.sardineport.core.relay.AttemptEnd;
import org.sardineport.core.relay.RequestProgress;
import org.sardineport.core.relay.ResponseHead;
import org.sardineport.core.request.Refusal;

/**
 * The attempts at one request, as far as the route and the retry budget allow. An attempt
 * that fails is followed by another. One whose backend server is silent goes on, and a
 * replacement is made beside it; the first of them to send a whole event or a complete
 * response is kept, and the others are ended. Confined to the event loop.
 */
final class RelayAttempts implements AttemptListener, PermitRequestsListener {

	/** Minimum remaining time for which another attempt is worthwhile. */
	private static final Duration MIN_ATTEMPT_TIME = Duration.ofMillis(20);

	/**
	 * Time from the first bytes of a replacement's stream to the end of the silent run,
	 * so that two backend servers do not work on one stream for long.
	 */
	private static final Duration HAND_OVER_TIMEOUT = Duration.ofMillis(300);

	/**
	 * Maximum time for which a retry waits for the check of the path after a broken
	 * connection.
	 */
	private static final Duration MAX_RETRY_DELAY = Duration.ofMillis(300);

	private final RelayServices services;

	private final RelayRequest request;

	private final Context context;

	private final RetryCharge retryCharge;

	private final RequestProgress progress;

	private final AttemptPlanner planner;

	private final CrashReport crashReport;

	private final PermitReleases releases;

	private final ResponseVersion version;

	private final RelayRunReport report;

	private final RelayAttemptsListener listener;

	private final PermitRequests permits;

	private final ActiveAttempts active = new ActiveAttempts();

	private final UnconfirmedEnd unconfirmedEnd;

	private long lastEventId = -1;

	private boolean continuable = true;

	private long handOverTimer = -1;

	private boolean retryPending;

	private @Nullable Instant dispatchedAt;

	RelayAttempts(RelayServices services, RelayRequest request, PoolName pool, RequestProgress progress,
			AttemptPlanner planner, ResponseVersion version, RelayRunReport report, RelayAttemptsListener listener) {
		this.services = services;
		this.request = request;
		this.context = services.vertx().getOrCreateContext();
		this.retryCharge = new RetryCharge(services, pool);
		this.progress = progress;
		this.planner = planner;
		this.crashReport = new CrashReport(services, planner);
		this.releases = new PermitReleases(services, this.crashReport, request.admission().route().name());
		this.version = version;
		this.report = report;
		this.listener = listener;
		this.permits = new PermitRequests(services, request, pool, progress, planner, version, this);
		this.unconfirmedEnd = new UnconfirmedEnd(services, this::confirmationTimedOut);
	}

	void start() {
		this.retryCharge.requested();
		this.permits.request();
	}

	/**
	 * Returns whether an attempt goes on.
	 * @return whether a backend server may be running the request
	 */
	boolean isRunning() {
		return !this.active.isEmpty();
	}

	@Override
	public void permitRefused(Refusal refusal) {
		if (this.active.isEmpty()) {
			giveUp(() -> this.listener.permitRefused(refusal));
		}
		else {
			this.retryCharge.refund();
			this.report.replacementEnded(refusal.reason().label() + ": " + refusal.detail());
		}
	}

	private void giveUp(Runnable refusal) {
		if (isEndUnconfirmed()) {
			acceptUnconfirmedEnd();
		}
		else {
			refusal.run();
		}
	}

	/**
	 * Returns whether the response may be whole, though no backend server has stated its
	 * end.
	 * @return whether it counts as complete if no other attempt continues it
	 */
	boolean isEndUnconfirmed() {
		return this.unconfirmedEnd.isPending();
	}

	private void confirmationTimedOut() {
		if (this.active.haveRest()) {
			this.unconfirmedEnd.refuted();
		}
		else {
			acceptUnconfirmedEnd();
		}
	}

	/**
	 * Ends the response as complete, as no other attempt continues it in time.
	 */
	void acceptUnconfirmedEnd() {
		abort((attempt) -> RunEnd.CANCELLED);
		this.listener.responseCompleted();
	}

	@Override
	public void permitGranted(Permit permit) {
		this.progress.sent();
		this.dispatchedAt = now();
		this.report.dispatched(permit.backendServer());
		this.version.dispatched(permit.backendServer());
		this.services.rollouts().dispatched(permit.backendServer());
		this.active.forEach(this::recordLastEvent);
		Attempt attempt = new Attempt(this.services, this.planner.attemptPlan(permit, this.progress, this.lastEventId),
				this);
		this.active.add(new PermittedAttempt(permit, attempt));
		attempt.start();
	}

	@Override
	public void silent(Attempt attempt) {
		if (this.permits.isPending() || attempt.connection() == null || !this.active.areAllSilent()) {
			return;
		}
		boolean replaceable = isTimeLeft() && this.active.areAllContinuable() && this.progress.mayReplaceAttempt()
				&& this.retryCharge.trySpend();
		this.report.silent(this.active.get(attempt), replaceable);
		if (replaceable) {
			this.active.forEach((each) -> this.progress.silent(each.server()));
			this.permits.request();
		}
	}

	@Override
	public void streamStarted(Attempt attempt) {
		if (this.active.areSeveral() && this.handOverTimer < 0) {
			this.handOverTimer = this.services.vertx().setTimer(HAND_OVER_TIMEOUT.toMillis(), (id) -> {
				this.handOverTimer = -1;
				if (this.active.contains(attempt)) {
					keepOnly(attempt);
				}
			});
		}
	}

	@Override
	public void firstEventReceived(Attempt attempt) {
		this.unconfirmedEnd.refuted();
		this.crashReport.firstEventReceived();
		this.releases.firstEventReceived(this.active.get(attempt));
	}

	/**
	 * Keeps an attempt that has sent data, and ends the others.
	 * @param attempt the attempt
	 * @return the attempt with its permit
	 */
	private PermittedAttempt keepOnly(Attempt attempt) {
		PermittedAttempt kept = this.active.get(attempt);
		withdrawPendingReplacement();
		if (this.active.areSeveral()) {
			this.services.vertx().cancelTimer(this.handOverTimer);
			this.handOverTimer = -1;
			List<PermittedAttempt> earlier = this.active.removeBefore(kept);
			List<PermittedAttempt> later = this.active.removeAfter(kept);
			earlier.forEach(this::endReplaced);
			later.forEach(this::endUnused);
		}
		return kept;
	}

	private void withdrawPendingReplacement() {
		if (this.permits.withdraw()) {
			this.retryCharge.refund();
			this.report.replacementEnded("not needed");
		}
	}

	private void endReplaced(PermittedAttempt replaced) {
		replaced.attempt().abort();
		this.progress.ended(replaced.server(), AttemptEnd.SILENT);
		this.report.attemptEnded(replaced, AttemptEnd.SILENT, true, this.planner.fingerprint(),
				"nothing came for " + replaced.attempt().silence().toMillis() + " ms, another backend server goes on");
		this.releases.release(replaced, RunEnd.TIMED_OUT);
	}

	private void endUnused(PermittedAttempt replacement) {
		replacement.attempt().abort();
		this.releases.release(replacement, RunEnd.CANCELLED);
		this.report.replacementEnded("the backend server that was silent goes on");
	}

	@Override
	public void responseReceived(Attempt attempt, ResponseHead head, MultiMap headers, Buffer body) {
		if (head.isServerError() || head.impliesNotRun()) {
			this.listener.errorReceived(head, headers, body);
			failed(attempt, AttemptEnd.FAILED, "status " + head.status());
			return;
		}
		complete(keepOnly(attempt));
		this.listener.responseReceived(head, headers, body);
	}

	@Override
	public boolean mayForward(Attempt attempt) {
		PermittedAttempt begun = this.active.get(attempt);
		CompletableFuture<Boolean> mayForward = this.version.mayForward(begun);
		if (mayForward.getNow(false)) {
			return true;
		}
		this.report.eventsHeld(begun.server());
		mayForward.thenAccept(
				(isVersionKnown) -> this.context.runOnContext((ignored) -> forwardHeldEvents(attempt, isVersionKnown)));
		return false;
	}

	private void forwardHeldEvents(Attempt attempt, boolean isVersionKnown) {
		if (!this.active.contains(attempt)) {
			return;
		}
		if (isVersionKnown) {
			attempt.forwardHeldEvents();
		}
		else {
			attempt.abort();
			failed(attempt, AttemptEnd.FAILED, "the software version is not certain");
		}
	}

	@Override
	public void responseStarted(Attempt attempt, ResponseHead head, MultiMap headers) {
		this.version.begun(keepOnly(attempt));
		this.listener.responseStarted(head, headers);
	}

	@Override
	public void dataReceived(Attempt attempt, Buffer bytes) {
		keepOnly(attempt);
		this.listener.dataReceived(attempt, bytes);
	}

	@Override
	public void responseCompleted(Attempt attempt) {
		complete(keepOnly(attempt));
		this.listener.responseCompleted();
	}

	@Override
	public void failed(Attempt attempt, AttemptEnd end, String detail) {
		PermittedAttempt ended = this.active.get(attempt);
		this.active.remove(ended);
		recordLastEvent(ended);
		this.progress.ended(ended.server(), end);
		recordWhetherStreamGoesOn(attempt);
		boolean continued = !this.active.isEmpty() || this.permits.isPending();
		boolean mayEndHere = end == AttemptEnd.UNCONFIRMED && !needsConfirmation(ended);
		boolean again = continued || (!mayEndHere && mayRetry(end));
		this.report.attemptEnded(ended, end, again, this.planner.fingerprint(), detail);
		boolean mayHaveCrashed = this.releases.releaseFailed(ended, end);
		if (continued && end == AttemptEnd.NOT_CONNECTED) {
			this.retryCharge.refund();
		}
		else if (!continued && again && mayHaveCrashed) {
			retryAfterCheck(ended.permit().backendServer());
		}
		else if (!continued && again) {
			this.permits.request();
		}
		else if (!again) {
			giveUp(() -> this.listener.attemptsExhausted(end, detail));
		}
	}

	private boolean needsConfirmation(PermittedAttempt ended) {
		this.report.responseCompleted(ended.attempt());
		if (this.active.haveRest()) {
			return true;
		}
		return this.unconfirmedEnd.begin(ended.permit().backendServer().process());
	}

	private void recordWhetherStreamGoesOn(Attempt attempt) {
		if (attempt.hasRest() || this.active.haveRest()) {
			this.unconfirmedEnd.refuted();
		}
	}

	private void recordLastEvent(PermittedAttempt attempt) {
		this.lastEventId = Math.max(this.lastEventId, attempt.attempt().lastEventId());
		this.continuable &= attempt.attempt().isContinuable();
	}

	// The request may be quarantined for the crash. The check also tells whether the path
	// was lost, which no crash is.
	private void retryAfterCheck(BackendServer server) {
		this.retryPending = true;
		this.services.connections()
			.verifyPath(server)
			.timeout(MAX_RETRY_DELAY.toMillis(), TimeUnit.MILLISECONDS)
			.onComplete((ignored) -> {
				if (this.retryPending) {
					this.retryPending = false;
					this.permits.request();
				}
			});
	}

	private boolean mayRetry(AttemptEnd end) {
		if (!isTimeLeft() || !this.continuable || !this.progress.mayRetry()) {
			return false;
		}
		return end == AttemptEnd.NOT_CONNECTED || this.retryCharge.trySpend();
	}

	private boolean isTimeLeft() {
		return now().plus(MIN_ATTEMPT_TIME).isBefore(this.request.latestResponse());
	}

	/**
	 * Ends all attempts and the wait for a permit. Nothing is called any more.
	 * @param runEnd returns how the run of an attempt ended
	 */
	void abort(Function<Attempt, RunEnd> runEnd) {
		this.unconfirmedEnd.clear();
		this.permits.end();
		this.retryPending = false;
		this.services.vertx().cancelTimer(this.handOverTimer);
		for (PermittedAttempt each : this.active.removeAll()) {
			RunEnd end = runEnd.apply(each.attempt());
			this.progress.silent(each.server());
			each.attempt().abort();
			this.releases.release(each, end);
		}
	}

	private void complete(PermittedAttempt completed) {
		this.unconfirmedEnd.confirmed();
		this.active.remove(completed);
		recordDuration();
		this.report.responseCompleted(completed.attempt());
		this.crashReport.completed(completed);
		this.releases.release(completed, RunEnd.COMPLETED);
	}

	/**
	 * Records how long the latest run took, as its response is complete or its time limit
	 * has passed.
	 */
	void recordDuration() {
		Instant dispatched = this.dispatchedAt;
		if (dispatched != null) {
			this.services.stop().ended(this.request, dispatched);
		}
	}

	private Instant now() {
		return this.services.clock().instant();
	}

}
