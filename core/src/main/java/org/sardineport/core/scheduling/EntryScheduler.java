package org.sardineport.core.scheduling;

import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.admission.Permit;
import org.sardineport.core.admission.PermitListener;
import org.sardineport.core.admission.RunEnd;
import org.sardineport.core.admission.RunMeasurement;
import org.sardineport.core.admission.SchedulingRequest;
import org.sardineport.core.exchange.RetryBudget;
import org.sardineport.core.identity.BackendServerId;
import org.sardineport.core.identity.DaemonId;
import org.sardineport.core.identity.RequestId;
import org.sardineport.core.request.Refusal;
import org.sardineport.core.request.RefusalReason;
import org.sardineport.core.request.RetryReason;
import org.sardineport.core.routing.ServerState;
import org.sardineport.core.routing.ServerView;

/**
 * The entry side: holds this daemon's requests until they have a permit or a refusal.
 * Each is at one owner at a time; it is asked again while no answer comes, moves when
 * another backend server would finish it much sooner, and is tried elsewhere after a
 * denial as long as the budget of retries lasts. Not safe for use by several threads.
 */
final class EntryScheduler {

	/** Retries of a request below the top tier. */
	private static final int MOST_RETRIES = 3;

	/** Moves of a queued request to another backend server. */
	private static final int MOST_MOVES = 8;

	/** Owner silences in a row, each of one timeout, after which another is tried. */
	private static final int MOST_SILENCES = 2;

	/** Time between two questions for a queued request. */
	private static final long REFRESH_MILLIS = 2000;

	/** Time to wait for news of the fleet when no backend server may be asked. */
	private static final long BACKOFF_MILLIS = 100;

	/** Time after which a caller is told to come back when nothing better is known. */
	private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

	private final SchedulingLimits limits;

	private final PoolDirectory directory;

	private final InstantSource clock;

	private final SchedulingEffects effects;

	private final MessageOutbox outbox;

	private final EntryRecords records;

	private final RetryBudget budget = RetryBudget.ofMessages();

	private final Map<RequestId, PendingRequest> pending = new LinkedHashMap<>();

	private final RunningRequests running;

	private final EntryRouting routing;

	EntryScheduler(SchedulingLimits limits, PoolDirectory directory, InstantSource clock, SchedulingEffects effects,
			MessageOutbox outbox, EntryRecords records) {
		this.limits = limits;
		this.directory = directory;
		this.clock = clock;
		this.effects = effects;
		this.outbox = outbox;
		this.records = records;
		this.running = new RunningRequests(directory, outbox);
		this.routing = new EntryRouting(directory, clock);
	}

	void submit(SchedulingRequest request, PermitListener listener) {
		PendingRequest added = new PendingRequest(request, listener);
		Optional<Refusal> refusal = refusalOnArrival(request);
		if (refusal.isPresent()) {
			listener.refused(refusal.get());
			return;
		}
		this.budget.earn();
		this.pending.put(request.id(), added);
		askBest(added);
	}

	private Optional<Refusal> refusalOnArrival(SchedulingRequest request) {
		if (!this.clock.instant().isBefore(request.deadline())) {
			return Optional.of(Refusal.retryAfter(RefusalReason.DEADLINE_PASSED, "the deadline passed", RETRY_AFTER));
		}
		Optional<Refusal> quarantine = this.records.quarantine(request);
		if (quarantine.isPresent()) {
			return quarantine;
		}
		if (this.pending.size() >= this.limits.maximumWaiting() && !evictFor(request)) {
			return Optional
				.of(Refusal.retryAfter(RefusalReason.OVERLOADED, "too many requests wait here", RETRY_AFTER));
		}
		return this.records.spend(request);
	}

	/**
	 * Refuses the least urgent request that waits, if it is less urgent than a new one.
	 * @param request the new request
	 * @return whether one was refused
	 */
	private boolean evictFor(SchedulingRequest request) {
		Optional<PendingRequest> victim = this.pending.values()
			.stream()
			.filter((waiting) -> request.tier().isMoreUrgentThan(waiting.request().tier()))
			.max(Comparator.comparing((waiting) -> waiting.request().tier()));
		victim.ifPresent((waiting) -> {
			withdraw(waiting);
			refuse(waiting,
					Refusal.retryAfter(RefusalReason.OVERLOADED, "more urgent requests wait here", RETRY_AFTER));
		});
		return victim.isPresent();
	}

	void abandon(RequestId request) {
		PendingRequest waiting = this.pending.remove(request);
		if (waiting != null) {
			withdraw(waiting);
			this.records.refund(waiting.request());
		}
	}

	void release(Permit permit, RunMeasurement measurement) {
		RunningRequest run = this.running.end(permit.request());
		if (run == null) {
			return;
		}
		this.records.ended(run, measurement);
		PermitRelease release = new PermitRelease(permit.request(), permit.backendServer().id(), measurement);
		this.outbox.send(run.owner(), release);
		ServerView view = this.directory.view(permit.backendServer().id());
		if (view != null && view.owner() != null && !view.owner().equals(run.owner())) {
			this.outbox.send(view.owner(), release);
		}
	}

	void granted(DaemonId owner, PermitGrant grant) {
		ServerView view = seen(grant.backendServer(), grant.state());
		PendingRequest waiting = this.pending.get(grant.request());
		if (waiting == null || view == null || !waiting.isAt(grant.backendServer())) {
			giveBack(owner, grant);
			return;
		}
		this.pending.remove(grant.request());
		waiting.answered();
		Optional<Refusal> quarantine = this.records.quarantine(waiting.request());
		if (quarantine.isPresent()) {
			giveBack(owner, grant);
			refuse(waiting, quarantine.get());
			return;
		}
		Permit permit = new Permit(grant.request(), view.server(), this.clock.instant().plus(grant.valid()));
		PermitRequest ask = waiting.ask(view, this.clock.millis());
		this.running.add(new RunningRequest(waiting.request(), waiting.listener(), permit, ask, owner));
		waiting.listener().granted(permit);
	}

	private void giveBack(DaemonId owner, PermitGrant grant) {
		RunningRequest run = this.running.get(grant.request());
		boolean repeated = run != null && run.permit().backendServer().id().equals(grant.backendServer())
				&& run.owner().equals(owner);
		if (!repeated) {
			this.outbox.send(owner,
					new PermitRelease(grant.request(), grant.backendServer(), RunMeasurement.none(RunEnd.UNUSED)));
		}
	}

	void queued(DaemonId owner, PermitQueued queued) {
		seen(queued.backendServer(), queued.state());
		PendingRequest waiting = this.pending.get(queued.request());
		if (waiting != null && waiting.isAt(queued.backendServer())) {
			waiting.queued(queued.expectedWait().toMillis(), this.clock.millis());
		}
		else {
			this.outbox.send(owner, new PermitWithdrawal(queued.request(), queued.backendServer()));
		}
	}

	void denied(PermitRefusal refusal) {
		seen(refusal.backendServer(), refusal.state());
		PendingRequest waiting = this.pending.get(refusal.request());
		if (waiting != null && waiting.isAt(refusal.backendServer())) {
			waiting.denied(refusal.denial(), refusal.retryAfter());
			waiting.left();
			retry(waiting, refusal.denial().retryReason(), refusal.denial() == PermitDenial.NOT_OWNER);
		}
	}

	void preempted(PermitPreemption preemption) {
		RunningRequest run = this.running.get(preemption.request());
		if (run != null && run.permit().backendServer().id().equals(preemption.backendServer())) {
			run.listener().preempted(run.permit());
		}
	}

	@Nullable ServerView seen(BackendServerId id, @Nullable ServerState state) {
		ServerView view = this.directory.view(id);
		if (view != null && state != null) {
			view.update(state, this.clock.millis());
		}
		return view;
	}

	private void retry(PendingRequest waiting, RetryReason reason, boolean newsExpected) {
		boolean top = waiting.request().tier().isTop();
		ServerView next = this.routing.best(waiting);
		boolean hopeless = next != null && !newsExpected && !this.routing.suits(waiting, next);
		if (!top && (hopeless || waiting.retried() > MOST_RETRIES)) {
			refuseDenied(waiting);
		}
		else if (!top && !this.budget.trySpend()) {
			refuse(waiting, RefusalReason.RETRY_BUDGET_SPENT, "the budget of retries is spent");
		}
		else {
			this.effects.retried(reason);
			if (newsExpected && next == null) {
				waiting.backOff(this.clock.millis() + BACKOFF_MILLIS);
			}
			else {
				askBest(waiting);
			}
		}
	}

	private void askBest(PendingRequest waiting) {
		boolean top = waiting.request().tier().isTop();
		ServerView best = this.routing.best(waiting);
		if (best == null && top && waiting.beginPreemption()) {
			best = this.routing.best(waiting);
		}
		if (best == null) {
			refuseDenied(waiting);
			return;
		}
		if (top && !this.routing.suits(waiting, best)) {
			waiting.allowPreemption();
		}
		ask(waiting, best);
	}

	private void ask(PendingRequest waiting, ServerView view) {
		DaemonId owner = view.owner();
		if (owner == null) {
			refuseDenied(waiting);
			return;
		}
		long now = this.clock.millis();
		waiting.asking(view, owner, now);
		this.outbox.send(owner, waiting.ask(view, now));
	}

	private void refuseDenied(PendingRequest waiting) {
		refuse(waiting, waiting.denial().refusalReason(), "no backend server of the pool has room in time");
	}

	private void refuse(PendingRequest waiting, RefusalReason reason, String detail) {
		long millis = Math.max(RETRY_AFTER.toMillis(), waiting.retryAfterMillis());
		refuse(waiting, Refusal.retryAfter(reason, detail, Duration.ofMillis(millis)));
	}

	private void refuse(PendingRequest waiting, Refusal refusal) {
		this.pending.remove(waiting.request().id());
		this.records.refund(waiting.request());
		waiting.listener().refused(refusal);
	}

	private void withdraw(PendingRequest waiting) {
		ServerView view = waiting.server();
		DaemonId owner = waiting.owner();
		if (view != null && owner != null) {
			this.outbox.send(owner, new PermitWithdrawal(waiting.request().id(), view.server().id()));
		}
		waiting.left();
	}

	void tick() {
		long now = this.clock.millis();
		this.routing.tick();
		for (PendingRequest waiting : new ArrayList<>(this.pending.values())) {
			if (this.pending.containsKey(waiting.request().id())) {
				tick(waiting, now);
			}
		}
	}

	private void tick(PendingRequest waiting, long now) {
		RefusalReason overdue = waiting.overdue(now);
		if (overdue != null) {
			withdraw(waiting);
			refuse(waiting, overdue, "it could not begin while its caller waits");
		}
		else if (waiting.isBackingOff()) {
			askAfterBackoff(waiting, now);
		}
		else if (waiting.isSilentSince(now - patience(waiting))) {
			askAgain(waiting, now);
		}
		else if (waiting.isQueued() && waiting.moves() < MOST_MOVES) {
			moveIfBetter(waiting);
		}
	}

	private void askAfterBackoff(PendingRequest waiting, long now) {
		if (waiting.backoffUntil() > now) {
			return;
		}
		if (this.routing.best(waiting) == null && this.routing.isAnyOwnerSilent()) {
			waiting.backOff(now + BACKOFF_MILLIS);
		}
		else {
			askBest(waiting);
		}
	}

	private long patience(PendingRequest waiting) {
		boolean refreshed = waiting.isQueued() && waiting.silences() == 0;
		return (refreshed) ? REFRESH_MILLIS : this.limits.ownerTimeout().toMillis();
	}

	private void askAgain(PendingRequest waiting, long now) {
		ServerView view = waiting.server();
		DaemonId owner = waiting.owner();
		if (view != null && owner != null && waiting.silences() < MOST_SILENCES) {
			waiting.askedAgain(now);
			this.outbox.send(owner, waiting.ask(view, now));
		}
		else if (owner != null) {
			this.routing.silent(owner);
			withdraw(waiting);
			retry(waiting, RetryReason.OWNER_SILENT, true);
		}
	}

	private void moveIfBetter(PendingRequest waiting) {
		ServerView better = this.routing.better(waiting);
		if (better != null) {
			waiting.moved();
			this.effects.retried(RetryReason.OWNER_FULL);
			withdraw(waiting);
			ask(waiting, better);
		}
	}

	/**
	 * Moves what waits at former owners or backend servers that are gone, and tells new
	 * owners what runs.
	 */
	void fleetChanged() {
		for (PendingRequest waiting : new ArrayList<>(this.pending.values())) {
			ServerView view = waiting.server();
			if (view == null || !this.pending.containsKey(waiting.request().id())) {
				continue;
			}
			ServerView now = this.directory.view(view.server().id());
			if (now == null) {
				waiting.denied(PermitDenial.LEAVING, Duration.ZERO);
				withdraw(waiting);
				retry(waiting, RetryReason.BACKEND_LEAVING, true);
			}
			else if (!Objects.equals(now.owner(), waiting.owner())) {
				withdraw(waiting);
				ask(waiting, now);
			}
		}
		this.running.tellNewOwners();
	}

	int waiting() {
		return this.pending.size();
	}

	/**
	 * Tells other daemons what runs on their backend servers.
	 */
	void report() {
		this.running.report();
	}

	int running() {
		return this.running.size();
	}

}
