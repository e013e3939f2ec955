package org.sardineport.core.scheduling;

import java.time.Duration;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.sardineport.core.admission.RunMeasurement;
import org.sardineport.core.backend.BackendServer;
import org.sardineport.core.backend.LoadReport;
import org.sardineport.core.capacity.CapacityChange;
import org.sardineport.core.identity.DaemonId;
import org.sardineport.core.identity.RequestId;
import org.sardineport.core.request.Tier;
import org.sardineport.core.routing.ServerState;

/**
 * Grants the permits of one backend server. Counting is conservative: a permit counts as
 * outstanding until it is released, is missing from its entry's report, or its entry has
 * been gone for a grace period. All times are milliseconds of the same clock. Not
 * thread-safe.
 */
final class PermitOwner {

	/**
	 * Minimum age, in milliseconds, at which a permit missing from its entry's report is
	 * freed.
	 */
	private static final long UNREPORTED_PERMIT_MILLIS = 3000;

	/**
	 * Time for which the permits of an entry that has gone still count, in milliseconds.
	 */
	private static final long ORPHAN_GRACE_MILLIS = 5000;

	private final BackendServer server;

	private final PermitReplies replies;

	private final OwnerQueue queue = new OwnerQueue();

	private final ServerOccupancy occupancy;

	private final ServerModel model;

	private final AdmissionCheck check;

	private final ReadDelay readDelay;

	private boolean leaving;

	private boolean resumesStreams;

	/**
	 * Creates an owner without outstanding or waiting requests.
	 * @param server the backend server
	 * @param model what this daemon has learned about the backend server, including
	 * during an earlier ownership
	 * @param outbox outbox for replies to entries
	 * @param permitLifetime time within which a permit must be used
	 * @param readDelay how long messages of entries wait for this daemon
	 * @param knownIdle whether no entry can have unreported runs there, so that no
	 * warm-up is needed
	 * @param now the current time
	 */
	PermitOwner(BackendServer server, ServerModel model, MessageOutbox outbox, Duration permitLifetime,
			ReadDelay readDelay, boolean knownIdle, long now) {
		this.server = Objects.requireNonNull(server, "server must not be null");
		this.replies = new PermitReplies(server.id(), outbox, permitLifetime, this::state);
		this.readDelay = Objects.requireNonNull(readDelay, "readDelay must not be null");
		this.occupancy = new ServerOccupancy(now);
		this.model = Objects.requireNonNull(model, "model must not be null");
		this.check = new AdmissionCheck(this.occupancy, this.queue, model, knownIdle, now);
	}

	BackendServer server() {
		return this.server;
	}

	/**
	 * Handles a permit request. A repeated request gets its current state again, as the
	 * earlier reply may have been lost.
	 * @param entry the entry
	 * @param permitRequest the permit request
	 * @param now the current time
	 */
	void request(DaemonId entry, PermitRequest permitRequest, long now) {
		OutstandingPermit permit = this.occupancy.get(permitRequest.request());
		WaitingRequest waiting = this.queue.get(permitRequest.request());
		if (permit != null) {
			this.replies.sendGrant(permit, now);
		}
		else if (waiting != null) {
			this.replies.sendQueued(waiting, expectedWait(waiting, now), now);
		}
		else {
			receive(WaitingRequest.of(permitRequest, entry, this.readDelay.arrivedBy(entry, now)), now);
		}
	}

	// A request whose entry has given it up while the message waited needs no reply.
	private void receive(WaitingRequest waiting, long now) {
		if (!waiting.isExpired(now)) {
			decide(waiting, now);
		}
	}

	private void decide(WaitingRequest waiting, long now) {
		if (this.leaving) {
			this.replies.sendRefusal(waiting, PermitDenial.LEAVING, 0, now);
		}
		else if (this.model.health().isIsolated()) {
			grantProbeOrRefuse(waiting, now);
		}
		else if (!this.check.canFinish(waiting, 0, now)) {
			this.replies.sendRefusal(waiting, PermitDenial.DEADLINE_UNREACHABLE, 0, now);
		}
		else if (this.check.hasRoom(waiting.permitRequest().tier(), now)
				&& this.queue.countAhead(waiting.permitRequest().tier()) == 0) {
			grant(waiting, now);
		}
		else if (waiting.permitRequest().tier().isTop() && !waiting.permitRequest().mayPreempt()) {
			this.replies.sendRefusal(waiting, PermitDenial.NO_ROOM, 0, now);
		}
		else if (mayExceedConcurrency(waiting, now)) {
			grant(waiting, now);
		}
		else {
			enqueue(waiting, now);
		}
	}

	// What the backend server states holds for the top tier, too.
	private boolean mayExceedConcurrency(WaitingRequest waiting, long now) {
		return waiting.permitRequest().tier().isTop() && this.check.mayStart(now)
				&& (makeRoom(now) || this.check.isSlackUsedUp(waiting, now));
	}

	private void grantProbeOrRefuse(WaitingRequest waiting, long now) {
		boolean suitable = waiting.permitRequest().runningPolicy().isPreemptible(this.resumesStreams)
				&& (!waiting.permitRequest().tier().isTop() || waiting.permitRequest().mayPreempt());
		boolean due = (suitable && this.model.health().mayRun(now)) || this.model.health().isProbeOverdue(now);
		if (due && this.check.mayStart(now)) {
			grant(waiting, now);
		}
		else {
			long wait = Math.max(this.model.health().millisUntilProbe(now), this.check.millisUntilStart(1, now));
			this.replies.sendRefusal(waiting, PermitDenial.ISOLATED, wait, now);
		}
	}

	private void enqueue(WaitingRequest waiting, long now) {
		long wait = expectedWait(waiting, now);
		boolean behindLowerTier = waiting.permitRequest().tier().isTop() && this.occupancy.isLowerTierRunning()
				&& this.check.mayStart(now);
		if (behindLowerTier
				|| this.check.canFinish(waiting, wait + this.check.extraWaitIfLate(waiting, wait, now), now)) {
			this.queue.add(waiting);
			this.replies.sendQueued(waiting, expectedWait(waiting, now), now);
		}
		else {
			this.replies.sendRefusal(waiting, PermitDenial.OVERLOADED, wait, now);
		}
	}

	private long expectedWait(WaitingRequest waiting, long now) {
		return this.check.expectedWait(waiting.permitRequest().tier(), now);
	}

	/**
	 * Makes room for the top tier beyond the hard limit by preempting the run that wastes
	 * the least prefill.
	 * @param now the current time
	 * @return whether a run was preempted
	 */
	private boolean makeRoom(long now) {
		Optional<OutstandingPermit> victim = preemptible()
			.min(Comparator.comparingDouble((permit) -> permit.wastedPrefill(now)));
		victim.ifPresent((permit) -> {
			permit.markPreempting();
			this.replies.sendPreemption(permit);
		});
		return victim.isPresent();
	}

	private Stream<OutstandingPermit> preemptible() {
		return this.occupancy.permits()
			.filter((permit) -> !permit.isTop() && !permit.isPreempting()
					&& permit.permitRequest().runningPolicy().isPreemptible(this.resumesStreams));
	}

	private void grant(WaitingRequest waiting, long now) {
		RunForecast forecast = this.model.forecastAtFullLoad(waiting.permitRequest(), now);
		OutstandingPermit permit = new OutstandingPermit(waiting.permitRequest(), waiting.entry(), now, forecast,
				this.occupancy.size() + 1);
		this.occupancy.add(permit, now);
		this.model.runStarted(permit, now);
		this.replies.sendGrant(permit, now);
	}

	/**
	 * Ends the use of a permit, or removes a waiting request that the entry has
	 * withdrawn.
	 * @param request the request
	 * @param measurement what was measured
	 * @param now the current time
	 * @return whether the backend server is isolated because of it
	 */
	boolean release(RequestId request, RunMeasurement measurement, long now) {
		boolean wasIsolated = this.model.health().isIsolated();
		OutstandingPermit permit = this.occupancy.remove(request);
		if (permit != null) {
			this.model.runEnded(permit, measurement, this.occupancy.size() + 1, now);
		}
		WaitingRequest waiting = this.queue.get(request);
		if (waiting != null) {
			this.queue.remove(waiting);
		}
		grantWaiting(now);
		return !wasIsolated && this.model.health().isIsolated();
	}

	/**
	 * Reconciles the outstanding permits with an entry's report of all permits that it
	 * holds here.
	 * @param entry the entry
	 * @param permits the permit requests that were granted to it
	 * @param now the current time
	 */
	void onRunningPermits(DaemonId entry, List<PermitRequest> permits, long now) {
		for (PermitRequest permitRequest : permits) {
			if (this.occupancy.get(permitRequest.request()) == null) {
				RunForecast forecast = this.model.forecastAtFullLoad(permitRequest, now);
				this.occupancy
					.add(new OutstandingPermit(permitRequest, entry, now, forecast, this.occupancy.size() + 1), now);
			}
			WaitingRequest waiting = this.queue.get(permitRequest.request());
			if (waiting != null) {
				this.queue.remove(waiting);
			}
		}
		Set<RequestId> held = permits.stream().map(PermitRequest::request).collect(Collectors.toSet());
		this.occupancy
			.removeIf((permit) -> permit.entry().equals(entry) && !held.contains(permit.permitRequest().request())
					&& permit.grantedAt() < now - UNREPORTED_PERMIT_MILLIS);
		grantWaiting(now);
	}

	/**
	 * Applies a load report of the backend server. If it announces that the backend
	 * server is leaving, all waiting requests are refused.
	 * @param report the report
	 * @param now the current time
	 */
	void onLoadReport(LoadReport report, long now) {
		this.check.onLoadReport();
		this.leaving = report.leaving();
		this.resumesStreams = report.resumesStreams();
		this.occupancy.onLoadReport(report.running() + report.waiting(), now);
		if (this.leaving) {
			refuseWaiting((waiting) -> true, PermitDenial.LEAVING, now);
		}
		grantWaiting(now);
	}

	/**
	 * Applies the limits that the backend server stated to an entry. Requests that wait
	 * are decided anew if other limits apply than before.
	 * @param report what was stated, and how long ago
	 * @param now the current time
	 * @return whether other limits apply than before
	 */
	boolean onStatedLimitsReport(StatedLimitsReport report, long now) {
		if (!report.process().equals(this.server.process())) {
			return false;
		}
		long statedAt = now - report.age().toMillis();
		if (!this.model.applyStated(report.limits(), statedAt, this.occupancy.size(), now)) {
			return false;
		}
		decideWaitingAt(this, now);
		return true;
	}

	/**
	 * Drops the waiting requests of entries that have gone, and starts the grace period
	 * after which their permits no longer count.
	 * @param entries the daemons that are still present
	 * @param now the current time
	 */
	void onEntriesChanged(Collection<DaemonId> entries, long now) {
		this.queue.removeIf((waiting) -> !entries.contains(waiting.entry()));
		this.occupancy.permits()
			.filter((permit) -> !entries.contains(permit.entry()))
			.forEach((permit) -> permit.markOrphaned(now));
	}

	/**
	 * Runs the periodic work: frees orphaned permits, detects stalls, and refuses waiting
	 * requests that can no longer finish in time.
	 * @param now the current time
	 */
	void tick(long now) {
		this.occupancy.removeIf((permit) -> permit.isOrphanedBefore(now - ORPHAN_GRACE_MILLIS));
		this.model.detectSlowdown(this.occupancy, now);
		this.model.updateCapacity(this.occupancy.size(), now);
		if (this.model.health().isIsolated()) {
			refuseWaiting((waiting) -> true, PermitDenial.ISOLATED, now);
		}
		dropExpired(now);
		refuseWaiting((waiting) -> !this.check.canFinish(waiting, 0, now), PermitDenial.OVERLOADED, now);
		grantWaiting(now);
	}

	/**
	 * Returns whether the periodic work has nothing to do until the next event.
	 * @return whether no request waits and no permit is outstanding
	 */
	boolean isIdle() {
		return this.occupancy.size() == 0 && this.queue.size() == 0;
	}

	/**
	 * Refuses all waiting requests because another daemon now owns the backend server.
	 * @param now the current time
	 */
	void resign(long now) {
		refuseWaiting((waiting) -> true, PermitDenial.NOT_OWNER, now);
	}

	/**
	 * Passes all waiting requests to a new owner object after the backend server was
	 * replaced under the same name.
	 * @param successor owner object of the replacement
	 * @param now the current time
	 */
	void handOver(PermitOwner successor, long now) {
		decideWaitingAt(successor, now);
	}

	private void decideWaitingAt(PermitOwner owner, long now) {
		this.queue.removeIf((waiting) -> true).forEach((waiting) -> owner.decide(waiting, now));
	}

	// Their entries drop them at the same time, so no reply is needed.
	private void dropExpired(long now) {
		this.queue.removeIf((waiting) -> waiting.isExpired(now));
	}

	private void refuseWaiting(Predicate<WaitingRequest> condition, PermitDenial denial, long now) {
		for (WaitingRequest waiting : this.queue.removeIf(condition)) {
			this.replies.sendRefusal(waiting, denial, expectedWait(waiting, now), now);
		}
	}

	private void grantWaiting(long now) {
		this.queue.demoteLate(now);
		WaitingRequest next = this.queue.peek();
		while (next != null && mayRunNow(next, now)) {
			this.queue.take(next);
			if (this.check.canFinish(next, 0, now)) {
				grant(next, now);
			}
			else if (!next.isExpired(now)) {
				this.replies.sendRefusal(next, PermitDenial.OVERLOADED, expectedWait(next, now), now);
			}
			next = this.queue.peek();
		}
	}

	private boolean mayRunNow(WaitingRequest next, long now) {
		if (this.model.health().isIsolated()) {
			return false;
		}
		return this.check.hasRoom(next.permitRequest().tier(), now) || mayExceedConcurrency(next, now);
	}

	/**
	 * Returns whether a top-tier request is waiting although a lower-tier run could be
	 * preempted.
	 * @return whether priority is inverted
	 */
	boolean isPriorityInverted() {
		return this.queue.hasWaiting(Tier.URGENT) && !this.model.health().isIsolated()
				&& preemptible().findAny().isPresent();
	}

	/**
	 * Returns the changes of the learned capacity since the last call.
	 * @return the changes, oldest first
	 */
	List<CapacityChange> takeCapacityChanges() {
		return this.model.takeCapacityChanges();
	}

	ServerState state(long now) {
		return this.model.state(this.occupancy, this.queue.onTimeSize(), now)
			.withRequestShare(this.readDelay.requestShare());
	}

}
