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
import org.sardineport.core.identity.DaemonId;
import org.sardineport.core.identity.RequestId;
import org.sardineport.core.request.Tier;
import org.sardineport.core.routing.ServerState;

/**
 * Grants the permits of one backend server. Counts conservatively: a permit is out until
 * it is released, missing from its entry's report, or its entry is gone for a while. All
 * times are milliseconds of one clock. Not safe for use by several threads.
 */
final class PermitOwner {

	/** Time after which a permit that its entry does not report is freed. */
	private static final long LOST_AFTER_MILLIS = 3000;

	/** Time for which the permits of an entry that is gone still count. */
	private static final long ORPHAN_GRACE_MILLIS = 5000;

	/** Slack before a top-tier request that waits must run whatever else does. */
	private static final long LAST_MOMENT_MILLIS = 100;

	/** Time for which a new owner without a load report grants only half. */
	private static final long SETTLING_MILLIS = 1000;

	private final BackendServer server;

	private final MessageOutbox replies;

	private final Duration permitLifetime;

	private final OwnerQueue queue = new OwnerQueue();

	private final RunningCount running;

	private final ServerModel model;

	private final long settledAt;

	private boolean reportSeen;

	private boolean leaving;

	private boolean resumesStreams;

	/**
	 * Creates an owner that counts nothing yet.
	 * @param server the backend server
	 * @param model what this daemon learned of it when it owned it before
	 * @param replies where answers go
	 * @param permitLifetime time within which a permit must be used
	 * @param nothingRuns whether no entry can have a run there that it has not told yet
	 * @param now the current time
	 */
	PermitOwner(BackendServer server, ServerModel model, MessageOutbox replies, Duration permitLifetime,
			boolean nothingRuns, long now) {
		this.server = Objects.requireNonNull(server, "server must not be null");
		this.replies = Objects.requireNonNull(replies, "replies must not be null");
		this.permitLifetime = Objects.requireNonNull(permitLifetime, "permitLifetime must not be null");
		this.running = new RunningCount(now);
		this.model = Objects.requireNonNull(model, "model must not be null");
		this.settledAt = (nothingRuns) ? now : now + SETTLING_MILLIS;
	}

	BackendServer server() {
		return this.server;
	}

	/**
	 * Answers an entry that asks, also again after a lost answer.
	 * @param entry the entry
	 * @param ask what it asks
	 * @param now the current time
	 */
	void request(DaemonId entry, PermitRequest ask, long now) {
		Outstanding out = this.running.get(ask.request());
		WaitingRequest waiting = this.queue.get(ask.request());
		if (out != null) {
			sendGrant(out, now);
		}
		else if (waiting != null) {
			sendQueued(waiting, now);
		}
		else {
			place(WaitingRequest.of(ask, entry, now), now);
		}
	}

	private void place(WaitingRequest waiting, long now) {
		if (this.leaving) {
			refuse(waiting, PermitDenial.LEAVING, 0, now);
		}
		else if (this.model.health().isIsolated()) {
			placeProbe(waiting, now);
		}
		else if (!canFinish(waiting, 0, now)) {
			refuse(waiting, PermitDenial.DEADLINE_UNREACHABLE, 0, now);
		}
		else if (hasRoom(waiting.ask().tier(), now) && this.queue.sizeUpTo(waiting.ask().tier()) == 0) {
			grant(waiting, now);
		}
		else if (waiting.ask().tier().isTop() && !waiting.ask().mayPreempt()) {
			refuse(waiting, PermitDenial.NO_ROOM, 0, now);
		}
		else if (waiting.ask().tier().isTop() && (makeRoom(now) || isLastMoment(waiting, now))) {
			grant(waiting, now);
		}
		else {
			enqueue(waiting, now);
		}
	}

	private void placeProbe(WaitingRequest waiting, long now) {
		boolean suitable = waiting.ask().runningPolicy().isPreemptible(this.resumesStreams)
				&& (!waiting.ask().tier().isTop() || waiting.ask().mayPreempt());
		if ((suitable && this.model.health().mayRun(now)) || this.model.health().isProbeOverdue(now)) {
			grant(waiting, now);
		}
		else {
			refuse(waiting, PermitDenial.ISOLATED, this.model.health().millisUntilProbe(now), now);
		}
	}

	private void enqueue(WaitingRequest waiting, long now) {
		long wait = expectedWait(waiting.ask().tier(), now);
		boolean behindLower = waiting.ask().tier().isTop() && isLowerTierRunning();
		if (behindLower || canFinish(waiting, wait + waitIfLate(waiting, wait, now), now)) {
			this.queue.add(waiting);
			sendQueued(waiting, now);
		}
		else {
			refuse(waiting, PermitDenial.OVERLOADED, wait, now);
		}
	}

	// One that cannot begin in time goes behind all that are late already.
	private long waitIfLate(WaitingRequest waiting, long promptWait, long now) {
		if (now + promptWait <= waiting.promptBy()) {
			return 0;
		}
		int late = this.queue.size() - this.queue.promptSize();
		return (long) (late * this.model.serviceMillis(now) / this.model.limit().limit());
	}

	private boolean hasRoom(Tier tier, long now) {
		if (tier.isTop()) {
			return this.running.size() < this.model.limit().hardLimit();
		}
		int limit = this.model.lowerTierLimit(now);
		return this.running.size() < (isSettled(now) ? limit : (limit + 1) / 2);
	}

	private boolean isSettled(long now) {
		return this.reportSeen || now >= this.settledAt;
	}

	/**
	 * Makes room for the top tier beyond the hard limit by the preemption that wastes the
	 * least prefill.
	 * @param now the current time
	 * @return whether room was made
	 */
	private boolean makeRoom(long now) {
		Optional<Outstanding> victim = preemptible().min(Comparator.comparingDouble((out) -> out.wastedPrefill(now)));
		victim.ifPresent((out) -> {
			out.preempt();
			this.replies.send(out.entry(), new PermitPreemption(out.ask().request(), this.server.id()));
		});
		return victim.isPresent();
	}

	/**
	 * Returns whether a top-tier request must run now, in whatever company, as it would
	 * be shed otherwise while a lower tier runs.
	 * @param waiting the request
	 * @param now the current time
	 * @return whether its time runs out behind work that cannot be preempted
	 */
	private boolean isLastMoment(WaitingRequest waiting, long now) {
		return waiting.ask().tier().isTop() && isLowerTierRunning() && !canFinish(waiting, LAST_MOMENT_MILLIS, now);
	}

	private Stream<Outstanding> preemptible() {
		return this.running.permits()
			.filter((out) -> !out.isTop() && !out.isPreempting()
					&& out.ask().runningPolicy().isPreemptible(this.resumesStreams));
	}

	private boolean canFinish(WaitingRequest waiting, long waitMillis, long now) {
		if (waiting.deadline() <= now + waitMillis || waiting.startBy() < now + waitMillis) {
			return false;
		}
		int beside = (waiting.ask().tier().isTop()) ? this.running.topSize() : this.running.size();
		RunForecast forecast = this.model.forecast(waiting.ask(), beside + 1, now);
		double backlog = (waitMillis > 0) ? 0 : forecast.backlogMillis();
		double total = backlog + forecast.prefillMillis() + forecast.decodeMillis();
		return now + waitMillis + total <= waiting.deadline();
	}

	private long expectedWait(Tier tier, long now) {
		int ahead = this.queue.sizeUpTo(tier) + 1;
		return (long) (ahead * this.model.serviceMillis(now) / this.model.limit().limit());
	}

	private void grant(WaitingRequest waiting, long now) {
		RunForecast forecast = this.model.forecastFull(waiting.ask(), now);
		Outstanding out = new Outstanding(waiting.ask(), waiting.entry(), now, forecast, this.running.size() + 1);
		this.running.add(out, now);
		this.model.began(out, now);
		sendGrant(out, now);
	}

	/**
	 * Ends the use of a permit or the wait for one that the entry does not want any more.
	 * @param request the request
	 * @param measurement what was measured
	 * @param now the current time
	 */
	void release(RequestId request, RunMeasurement measurement, long now) {
		Outstanding out = this.running.remove(request);
		if (out != null) {
			this.model.ended(out, measurement, this.running.size() + 1, now);
		}
		WaitingRequest waiting = this.queue.get(request);
		if (waiting != null) {
			this.queue.remove(waiting);
		}
		pump(now);
	}

	/**
	 * Takes an entry's report of all permits that it holds here.
	 * @param entry the entry
	 * @param permits its permits
	 * @param now the current time
	 */
	void reported(DaemonId entry, List<PermitRequest> permits, long now) {
		for (PermitRequest permit : permits) {
			if (this.running.get(permit.request()) == null) {
				RunForecast forecast = this.model.forecastFull(permit, now);
				this.running.add(new Outstanding(permit, entry, now, forecast, this.running.size() + 1), now);
			}
			WaitingRequest waiting = this.queue.get(permit.request());
			if (waiting != null) {
				this.queue.remove(waiting);
			}
		}
		Set<RequestId> held = permits.stream().map(PermitRequest::request).collect(Collectors.toSet());
		this.running.removeIf((out) -> out.entry().equals(entry) && !held.contains(out.ask().request())
				&& out.grantedAt() < now - LOST_AFTER_MILLIS);
		pump(now);
	}

	/**
	 * Takes a load report of the backend server.
	 * @param report the report
	 * @param now the current time
	 */
	void loaded(LoadReport report, long now) {
		this.reportSeen = true;
		this.leaving = report.leaving();
		this.resumesStreams = report.resumesStreams();
		this.running.reported(report.running() + report.waiting(), now);
		if (this.leaving) {
			refuseWaiting((waiting) -> true, PermitDenial.LEAVING, now);
		}
		pump(now);
	}

	/**
	 * Drops what waits for entries that are gone, and stops to count their permits after
	 * a while.
	 * @param entries the daemons that are still there
	 * @param now the current time
	 */
	void entries(Collection<DaemonId> entries, long now) {
		this.queue.removeIf((waiting) -> !entries.contains(waiting.entry()));
		this.running.permits().filter((out) -> !entries.contains(out.entry())).forEach((out) -> out.orphan(now));
	}

	/**
	 * Does what time asks for: frees orphaned permits, refuses what cannot finish any
	 * more, notices stalls.
	 * @param now the current time
	 */
	void tick(long now) {
		this.running.removeIf((out) -> out.isOrphanedBefore(now - ORPHAN_GRACE_MILLIS));
		this.model.watch(this.running, now);
		if (this.model.health().isIsolated()) {
			refuseWaiting((waiting) -> true, PermitDenial.ISOLATED, now);
		}
		refuseWaiting((waiting) -> !canFinish(waiting, 0, now), PermitDenial.OVERLOADED, now);
		pump(now);
	}

	/**
	 * Refuses all that wait, as another daemon owns the backend server now.
	 * @param now the current time
	 */
	void resign(long now) {
		refuseWaiting((waiting) -> true, PermitDenial.NOT_OWNER, now);
	}

	/**
	 * Passes on all that wait, as the backend server is another one under the same name.
	 * @param successor decides about the new one
	 * @param now the current time
	 */
	void handOver(PermitOwner successor, long now) {
		this.queue.removeIf((waiting) -> true).forEach((waiting) -> successor.place(waiting, now));
	}

	private void refuseWaiting(Predicate<WaitingRequest> condition, PermitDenial denial, long now) {
		for (WaitingRequest waiting : this.queue.removeIf(condition)) {
			refuse(waiting, denial, expectedWait(waiting.ask().tier(), now), now);
		}
	}

	private void pump(long now) {
		this.queue.age(now);
		WaitingRequest next = this.queue.peek();
		while (next != null && mayRunNow(next, now)) {
			this.queue.take(next);
			if (canFinish(next, 0, now)) {
				grant(next, now);
			}
			else {
				refuse(next, PermitDenial.OVERLOADED, expectedWait(next.ask().tier(), now), now);
			}
			next = this.queue.peek();
		}
	}

	private boolean mayRunNow(WaitingRequest next, long now) {
		if (this.model.health().isIsolated()) {
			return false;
		}
		return hasRoom(next.ask().tier(), now)
				|| (next.ask().tier().isTop() && (makeRoom(now) || isLastMoment(next, now)));
	}

	/**
	 * Returns whether a permit below the top tier is out.
	 * @return whether lower-tier work may be running
	 */
	boolean isLowerTierRunning() {
		return this.running.isLowerTierRunning();
	}

	/**
	 * Returns whether a top-tier request waits here although a lower tier could give up
	 * its place.
	 * @return whether the order of tiers is broken
	 */
	boolean isTopTierBehindLower() {
		return this.queue.isWaiting(Tier.URGENT) && !this.model.health().isIsolated()
				&& preemptible().findAny().isPresent();
	}

	ServerState state(long now) {
		return this.model.state(this.running, this.queue.promptSize(), now);
	}

	private void sendGrant(Outstanding out, long now) {
		this.replies.send(out.entry(),
				new PermitGrant(out.ask().request(), this.server.id(), this.permitLifetime, state(now)));
	}

	private void sendQueued(WaitingRequest waiting, long now) {
		this.replies.send(waiting.entry(), new PermitQueued(waiting.ask().request(), this.server.id(),
				Duration.ofMillis(expectedWait(waiting.ask().tier(), now)), state(now)));
	}

	private void refuse(WaitingRequest waiting, PermitDenial denial, long retryAfterMillis, long now) {
		this.replies.send(waiting.entry(), new PermitRefusal(waiting.ask().request(), this.server.id(), denial,
				Duration.ofMillis(retryAfterMillis), state(now)));
	}

}
