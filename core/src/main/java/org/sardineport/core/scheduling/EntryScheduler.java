package org.sardineport.core.scheduling;

import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.random.RandomGenerator;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.admission.Permit;
import org.sardineport.core.admission.PermitListener;
import org.sardineport.core.admission.RunMeasurement;
import org.sardineport.core.admission.SchedulingRequest;
import org.sardineport.core.backend.BackendProcess;
import org.sardineport.core.exchange.RetryBudget;
import org.sardineport.core.identity.BackendServerId;
import org.sardineport.core.identity.DaemonId;
import org.sardineport.core.identity.RequestId;
import org.sardineport.core.limit.StatedLimits;
import org.sardineport.core.request.Refusal;
import org.sardineport.core.request.RefusalReason;
import org.sardineport.core.request.RetryReason;
import org.sardineport.core.routing.ServerState;
import org.sardineport.core.routing.ServerView;

/**
 * Entry side of the scheduler: holds this daemon's requests until each is granted a
 * permit or refused. A request is with one owner at a time. Its permit request is sent
 * again if the owner does not reply, moves if another backend server would finish it much
 * sooner, and goes to another backend server after a denial while the retry budget lasts.
 * Not thread-safe.
 */
final class EntryScheduler {

	/** Maximum retries of a request below the top tier. */
	private static final int MAX_RETRIES = 3;

	/** Maximum moves of a queued request to another backend server. */
	private static final int MAX_MOVES = 2;

	/**
	 * Maximum number of times a permit request is sent again without a reply before
	 * another backend server is tried.
	 */
	private static final int MAX_UNANSWERED_RESENDS = 1;

	/**
	 * Delay, in milliseconds, before a retry if no backend server can be asked until a
	 * fleet update arrives.
	 */
	private static final long BACKOFF_MILLIS = 100;

	/** Retry-after time sent to callers if no owner has reported a longer one. */
	private static final Duration DEFAULT_RETRY_AFTER = Duration.ofSeconds(1);

	private final SchedulingLimits limits;

	private final PoolDirectory directory;

	private final InstantSource clock;

	private final SchedulingEffects effects;

	private final MessageOutbox outbox;

	private final EntryAccounting accounting;

	private final RetryBudget retryBudget = RetryBudget.forMessages();

	private final Map<RequestId, PendingRequest> pendingRequests = new LinkedHashMap<>();

	private final RunningRequests running;

	private final StatedLimitsReports statedLimits;

	private final EntryRouting routing;

	EntryScheduler(SchedulingLimits limits, PoolDirectory directory, InstantSource clock, SchedulingEffects effects,
			MessageOutbox outbox, EntryAccounting accounting, RandomGenerator random) {
		this.limits = limits;
		this.directory = directory;
		this.clock = clock;
		this.effects = effects;
		this.outbox = outbox;
		this.accounting = accounting;
		this.running = new RunningRequests(directory, outbox);
		this.statedLimits = new StatedLimitsReports(directory, outbox);
		this.routing = new EntryRouting(directory, clock, random);
	}

	void submit(SchedulingRequest request, PermitListener listener) {
		PendingRequest pending = new PendingRequest(request, listener);
		Optional<Refusal> refusal = arrivalRefusal(request);
		if (refusal.isPresent()) {
			listener.refused(refusal.get());
			return;
		}
		this.accounting.spendTokens(request,
				(shortage) -> shortage.ifPresentOrElse(listener::refused, () -> admit(pending)));
	}

	private void admit(PendingRequest pending) {
		this.retryBudget.earn();
		this.pendingRequests.put(pending.request().id(), pending);
		requestFromBest(pending);
	}

	private Optional<Refusal> arrivalRefusal(SchedulingRequest request) {
		if (!this.clock.instant().isBefore(request.deadline())) {
			return Optional
				.of(Refusal.retryAfter(RefusalReason.DEADLINE_PASSED, "the deadline passed", DEFAULT_RETRY_AFTER));
		}
		Optional<Refusal> quarantine = this.accounting.quarantineRefusal(request);
		if (quarantine.isPresent()) {
			return quarantine;
		}
		if (this.pendingRequests.size() >= this.limits.maximumWaiting() && !evictFor(request)) {
			return Optional
				.of(Refusal.retryAfter(RefusalReason.OVERLOADED, "too many requests wait here", DEFAULT_RETRY_AFTER));
		}
		return Optional.empty();
	}

	/**
	 * Refuses the least urgent pending request if it is less urgent than a new request.
	 * @param request the new request
	 * @return whether a pending request was refused
	 */
	private boolean evictFor(SchedulingRequest request) {
		Optional<PendingRequest> victim = this.pendingRequests.values()
			.stream()
			.filter((pending) -> request.tier().isMoreUrgentThan(pending.request().tier()))
			.max(Comparator.comparing((pending) -> pending.request().tier()));
		victim.ifPresent((pending) -> {
			withdraw(pending);
			refuse(pending, Refusal.retryAfter(RefusalReason.OVERLOADED, "more urgent requests wait here",
					DEFAULT_RETRY_AFTER));
		});
		return victim.isPresent();
	}

	void abandon(RequestId request) {
		PendingRequest pending = this.pendingRequests.remove(request);
		if (pending != null) {
			withdraw(pending);
			this.accounting.refundTokens(pending.request());
		}
		else {
			this.accounting.abandon(request);
		}
	}

	void release(Permit permit, RunMeasurement measurement) {
		RunningRequest run = this.running.end(permit.request());
		if (run == null) {
			return;
		}
		this.accounting.recordRun(run, measurement);
		this.running.sendRelease(run, measurement);
	}

	void onGrant(DaemonId owner, PermitGrant grant) {
		ServerView view = updateView(grant.backendServer(), grant.state());
		PendingRequest pending = this.pendingRequests.get(grant.request());
		if (pending == null || view == null || !pending.isAt(grant.backendServer())) {
			this.running.returnUnused(owner, grant);
			return;
		}
		if (!admits(pending, view)) {
			this.running.returnUnused(owner, grant);
			leaveReplaced(pending);
			return;
		}
		this.pendingRequests.remove(grant.request());
		pending.recordReply(this.clock.millis());
		Optional<Refusal> quarantine = this.accounting.quarantineRefusal(pending.request());
		if (quarantine.isPresent()) {
			this.running.returnUnused(owner, grant);
			refuse(pending, quarantine.get());
			return;
		}
		Permit permit = new Permit(grant.request(), view.server(), this.clock.instant().plus(grant.valid()),
				grant.state().startRate().limit().isLimited());
		PermitRequest permitRequest = pending.permitRequest(view, this.clock.millis());
		this.running.add(new RunningRequest(pending.request(), pending.listener(), permit, permitRequest, owner));
		pending.listener().granted(permit);
	}

	private boolean admits(PendingRequest pending, ServerView view) {
		return pending.admits(view) && this.directory.takes(view.server(), pending.request().requiredVersion());
	}

	/**
	 * Moves a request away from a backend server that was removed, or replaced by one
	 * that cannot run it.
	 * @param pending the request
	 */
	private void leaveReplaced(PendingRequest pending) {
		pending.recordDenial(PermitDenial.LEAVING, Duration.ZERO);
		withdraw(pending);
		retry(pending, RetryReason.BACKEND_LEAVING, true);
	}

	void onQueued(DaemonId owner, PermitQueued queued) {
		updateView(queued.backendServer(), queued.state());
		PendingRequest pending = this.pendingRequests.get(queued.request());
		if (pending != null && pending.isAt(queued.backendServer())) {
			if (!pending.isQueued()) {
				pending.listener().queued();
			}
			pending.recordQueued(queued.expectedWait().toMillis(), this.clock.millis());
		}
		else {
			this.outbox.send(owner, new PermitWithdrawal(queued.request(), queued.backendServer()));
		}
	}

	void onRefusal(PermitRefusal refusal) {
		updateView(refusal.backendServer(), refusal.state());
		PendingRequest pending = this.pendingRequests.get(refusal.request());
		if (pending != null && pending.isAt(refusal.backendServer())) {
			pending.recordReply(this.clock.millis());
			pending.recordDenial(refusal.denial(), refusal.retryAfter());
			pending.unassign();
			retry(pending, refusal.denial().retryReason(), refusal.denial() == PermitDenial.NOT_OWNER);
		}
	}

	void onPreemption(PermitPreemption preemption) {
		RunningRequest run = this.running.get(preemption.request());
		if (run != null && run.permit().backendServer().id().equals(preemption.backendServer())) {
			run.listener().preempted(run.permit());
		}
	}

	@Nullable ServerView updateView(BackendServerId id, @Nullable ServerState state) {
		ServerView view = this.directory.view(id);
		if (view != null && state != null) {
			view.update(state, this.clock.millis());
			view.replyTime().heard(this.clock.millis());
		}
		return view;
	}

	private void retry(PendingRequest pending, RetryReason reason, boolean updateExpected) {
		boolean topTier = pending.request().tier().isTop();
		ServerView next = this.routing.best(pending);
		boolean unsuitable = next != null && !updateExpected && !this.routing.suits(pending, next);
		if (!topTier && (unsuitable || pending.incrementRetries() > MAX_RETRIES)) {
			refuseAfterDenial(pending);
		}
		else if (!topTier && !pending.isRetryOfRun() && !this.retryBudget.trySpend()) {
			refuse(pending, RefusalReason.RETRY_BUDGET_SPENT, "the budget of retries is spent");
		}
		else {
			this.effects.recordRetry(reason);
			if (updateExpected && next == null) {
				pending.backOff(this.clock.millis() + BACKOFF_MILLIS);
			}
			else {
				requestFromBest(pending);
			}
		}
	}

	private void requestFromBest(PendingRequest pending) {
		boolean topTier = pending.request().tier().isTop();
		ServerView best = this.routing.best(pending);
		if (best == null && topTier && pending.beginPreemption()) {
			best = this.routing.best(pending);
		}
		if (best == null) {
			refuseAfterDenial(pending);
			return;
		}
		best = (topTier) ? best : firstWithReplies(pending, best);
		if (best == null) {
			refuse(pending, RefusalReason.OVERLOADED, "the daemons that grant its permits answer too few in time");
			return;
		}
		if (topTier && !this.routing.suits(pending, best)) {
			pending.allowPreemption();
		}
		requestPermit(pending, best);
	}

	private @Nullable ServerView firstWithReplies(PendingRequest pending, ServerView best) {
		ServerView candidate = best;
		while (candidate != null && !this.routing.mayRequest(pending, candidate)) {
			pending.skip(candidate);
			candidate = this.routing.best(pending);
		}
		return candidate;
	}

	private void requestPermit(PendingRequest pending, ServerView view) {
		DaemonId owner = view.owner();
		if (owner == null) {
			refuseAfterDenial(pending);
			return;
		}
		long now = this.clock.millis();
		pending.assign(view, owner, now);
		send(pending, view, owner, now);
	}

	private void send(PendingRequest pending, ServerView view, DaemonId owner, long now) {
		this.statedLimits.reportTo(view, owner, now);
		this.outbox.send(owner, pending.permitRequest(view, now));
	}

	private void refuseAfterDenial(PendingRequest pending) {
		refuse(pending, pending.denial().refusalReason(), this.routing.describeLack(pending));
	}

	private void refuse(PendingRequest pending, RefusalReason reason, String detail) {
		long millis = Math.max(DEFAULT_RETRY_AFTER.toMillis(), pending.retryAfterMillis());
		refuse(pending, Refusal.retryAfter(reason, detail, Duration.ofMillis(millis)));
	}

	private void refuse(PendingRequest pending, Refusal refusal) {
		this.pendingRequests.remove(pending.request().id());
		this.accounting.refundTokens(pending.request());
		pending.listener().refused(refusal);
	}

	private void withdraw(PendingRequest pending) {
		ServerView view = pending.server();
		DaemonId owner = pending.owner();
		if (view != null && owner != null) {
			this.outbox.send(owner, new PermitWithdrawal(pending.request().id(), view.server().id()));
		}
		pending.unassign();
	}

	void tick() {
		long now = this.clock.millis();
		this.routing.tick();
		for (PendingRequest pending : new ArrayList<>(this.pendingRequests.values())) {
			if (this.pendingRequests.containsKey(pending.request().id())) {
				tick(pending, now);
			}
		}
	}

	private void tick(PendingRequest pending, long now) {
		RefusalReason expiryReason = pending.expiryReason(now);
		if (expiryReason != null) {
			// The owner drops the request at the same time.
			pending.recordMissedReply(now);
			refuse(pending, expiryReason, "it could not begin while its caller waits");
		}
		else if (pending.isBackingOff()) {
			retryAfterBackoff(pending, now);
		}
		else if (pending.isResendDue(this.limits.ownerTimeout(), now)) {
			resendOrGiveUp(pending, now);
		}
		else if (pending.isQueued() && pending.moves() < MAX_MOVES && pending.beginMoveCheck(now)) {
			moveIfBetter(pending);
		}
	}

	private void retryAfterBackoff(PendingRequest pending, long now) {
		if (pending.backoffUntil() > now) {
			return;
		}
		if (this.routing.best(pending) == null && this.routing.isAnyOwnerUnresponsive()) {
			pending.backOff(now + BACKOFF_MILLIS);
		}
		else {
			requestFromBest(pending);
		}
	}

	private void resendOrGiveUp(PendingRequest pending, long now) {
		ServerView view = pending.server();
		DaemonId owner = pending.owner();
		if (view != null && owner != null && pending.unansweredResends() < MAX_UNANSWERED_RESENDS) {
			pending.recordResend(now);
			send(pending, view, owner, now);
		}
		else if (owner != null) {
			if (!pending.hasOwnerResponded()) {
				this.routing.markUnresponsive(owner);
				this.effects.recordSilentOwner(owner);
			}
			pending.recordMissedReply(now);
			leave(pending);
			retry(pending, RetryReason.OWNER_SILENT, true);
		}
	}

	// A silent owner would read the withdrawal as late as the request.
	private void leave(PendingRequest pending) {
		if (pending.hasOwnerResponded()) {
			withdraw(pending);
		}
		else {
			pending.unassign();
		}
	}

	private void moveIfBetter(PendingRequest pending) {
		ServerView better = this.routing.better(pending);
		if (better != null) {
			pending.incrementMoves();
			this.effects.recordRetry(RetryReason.OWNER_FULL);
			withdraw(pending);
			requestPermit(pending, better);
		}
	}

	/**
	 * Moves pending requests away from former owners and removed backend servers, and
	 * reports running requests to new owners.
	 */
	void onFleetChanged() {
		for (PendingRequest pending : new ArrayList<>(this.pendingRequests.values())) {
			ServerView view = pending.server();
			if (view == null || !this.pendingRequests.containsKey(pending.request().id())) {
				continue;
			}
			ServerView current = this.directory.view(view.server().id());
			if (current == null || !admits(pending, current)) {
				leaveReplaced(pending);
			}
			else if (!Objects.equals(current.owner(), pending.owner())) {
				withdraw(pending);
				requestPermit(pending, current);
			}
		}
		this.running.notifyNewOwners();
		this.statedLimits.onOwnersChanged(this.clock.millis());
	}

	void recordStatedLimits(BackendProcess process, StatedLimits limits) {
		this.statedLimits.record(process, limits, this.clock.millis());
	}

	int waiting() {
		return this.pendingRequests.size();
	}

	/**
	 * Reports to other owners the permits that this daemon holds on their backend
	 * servers.
	 */
	void reportRunning() {
		this.running.sendReports();
	}

	int running() {
		return this.running.size();
	}

}
