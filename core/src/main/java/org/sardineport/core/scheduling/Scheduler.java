package org.sardineport.core.scheduling;

import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.List;
import java.util.Objects;
import java.util.random.RandomGenerator;

import org.sardineport.core.admission.Permit;
import org.sardineport.core.admission.PermitListener;
import org.sardineport.core.admission.RunMeasurement;
import org.sardineport.core.admission.SchedulingRequest;
import org.sardineport.core.backend.BackendProcess;
import org.sardineport.core.backend.BackendServer;
import org.sardineport.core.backend.LoadReport;
import org.sardineport.core.capacity.StatedLoad;
import org.sardineport.core.fleet.FleetSnapshot;
import org.sardineport.core.identity.DaemonId;
import org.sardineport.core.identity.RequestId;
import org.sardineport.core.limit.StatedLimits;
import org.sardineport.core.quarantine.QuarantineEffects;
import org.sardineport.core.quarantine.Strike;
import org.sardineport.core.quarantine.StrikeKey;
import org.sardineport.core.quarantine.StrikeRegistry;
import org.sardineport.core.quarantine.Suspect;
import org.sardineport.core.rollout.VersionGates;
import org.sardineport.core.routing.ServerState;
import org.sardineport.core.routing.ServerView;

/**
 * Scheduler of one daemon: its entry side, and the owner side of the backend servers that
 * it owns. Events are passed in by method calls; decisions are reported through listeners
 * and {@link SchedulingEffects}. Messages between the two sides of the same daemon are
 * delivered locally. Not thread-safe.
 */
public final class Scheduler {

	/** Interval between reports of running permits to other owners, in milliseconds. */
	private static final long REPORT_INTERVAL_MILLIS = 5000;

	/**
	 * Interval between digests to entries with recent permit requests, in milliseconds.
	 */
	private static final long DIGEST_INTERVAL_MILLIS = 1000;

	private final DaemonId self;

	private final InstantSource clock;

	private final SchedulingEffects effects;

	private final PoolDirectory directory;

	private final EntryScheduler entry;

	private final OwnerScheduler owner;

	private final OrganisationQuotas quotas;

	private final QuarantineEffects quarantineEffects;

	private final StrikeRegistry strikes;

	private final Deque<SchedulingMessage> localMessages = new ArrayDeque<>();

	private boolean deliveringLocal;

	private long reportedAt;

	private long digestedAt;

	private Scheduler(DaemonId self, SchedulingLimits limits, OwnerLookup ownerLookup, InstantSource clock,
			RandomGenerator random, SchedulingEffects effects) {
		this.self = Objects.requireNonNull(self, "self must not be null");
		Objects.requireNonNull(limits, "limits must not be null");
		this.clock = Objects.requireNonNull(clock, "clock must not be null");
		this.effects = Objects.requireNonNull(effects, "effects must not be null");
		this.directory = new PoolDirectory(self, ownerLookup, limits.assumptions(), random);
		this.quarantineEffects = effects.quarantine();
		this.strikes = StrikeRegistry.create(this.quarantineEffects::onQuarantineEvent);
		this.quotas = new OrganisationQuotas(this.directory, this::send, clock.millis());
		this.entry = new EntryScheduler(limits, this.directory, clock, effects, this::send,
				new EntryAccounting(this.directory, this.strikes, this.quotas, clock), random);
		this.owner = new OwnerScheduler(self, limits, this.directory, this::send, effects);
	}

	/**
	 * Creates the scheduler of a daemon that has no view of the fleet yet.
	 * @param self the daemon
	 * @param limits its limits
	 * @param ownerLookup determines the owner of a backend server
	 * @param clock the clock
	 * @param random source of randomness
	 * @param effects receives outgoing messages and retry counts
	 * @return the scheduler
	 */
	public static Scheduler create(DaemonId self, SchedulingLimits limits, OwnerLookup ownerLookup, InstantSource clock,
			RandomGenerator random, SchedulingEffects effects) {
		return new Scheduler(self, limits, ownerLookup, clock, random, effects);
	}

	/**
	 * Submits a request for a permit. The listener may be called before this method
	 * returns.
	 * @param request the request
	 * @param listener receives the decision
	 */
	public void submit(SchedulingRequest request, PermitListener listener) {
		this.entry.submit(request, listener);
		deliverLocal();
	}

	/**
	 * Abandons a request that is waiting for a permit. Has no effect if it holds one
	 * already.
	 * @param request the request
	 */
	public void abandon(RequestId request) {
		this.entry.abandon(request);
		deliverLocal();
	}

	/**
	 * Ends the use of a permit.
	 * @param permit the permit
	 * @param measurement what was measured
	 */
	public void release(Permit permit, RunMeasurement measurement) {
		this.entry.release(permit, measurement);
		deliverLocal();
	}

	/**
	 * Handles a message from another daemon.
	 * @param sender the daemon
	 * @param message the message
	 */
	public void onMessage(DaemonId sender, SchedulingMessage message) {
		handle(sender, message);
		deliverLocal();
	}

	/**
	 * Applies a new view of the fleet, with changes of owners and backend servers.
	 * @param fleet the view
	 */
	public void onFleetSnapshot(FleetSnapshot fleet) {
		long now = this.clock.millis();
		boolean changed = this.directory.update(fleet, now);
		if (changed) {
			this.owner.onOwnersChanged(now);
			this.entry.onFleetChanged();
		}
		this.owner.onEntriesChanged(now);
		deliverLocal();
	}

	/**
	 * Applies new gates for software versions. Requests that wait at a backend server
	 * that does not take them any more move to others.
	 * @param gates which versions take new work
	 */
	public void onVersionGates(VersionGates gates) {
		this.directory.applyGates(gates);
		this.entry.onFleetChanged();
		deliverLocal();
	}

	/**
	 * Applies a load report of a backend server. Ignored if this daemon is not its owner.
	 * @param report the report
	 */
	public void onLoadReport(LoadReport report) {
		this.owner.onLoadReport(report, this.clock.millis());
		deliverLocal();
	}

	/**
	 * Runs the periodic work. Must be called every few tens of milliseconds.
	 */
	public void tick() {
		long now = this.clock.millis();
		this.owner.tick(now);
		this.entry.tick();
		this.quotas.tick(now);
		if (now - this.reportedAt >= REPORT_INTERVAL_MILLIS) {
			this.reportedAt = now;
			this.strikes.expire(this.clock.instant());
			this.entry.reportRunning();
		}
		if (now - this.digestedAt >= DIGEST_INTERVAL_MILLIS) {
			this.digestedAt = now;
			sendDigests(now);
		}
		deliverLocal();
	}

	/**
	 * Returns how long {@link #tick()} has nothing to do, provided that no event comes
	 * before.
	 * @return zero while a request waits, a permit of an owned backend server is
	 * outstanding; else the time until the next digest or report
	 */
	public Duration untilTickDue() {
		if (this.entry.waiting() > 0 || !this.owner.isIdle()) {
			return Duration.ZERO;
		}
		long now = this.clock.millis();
		long next = Math.min(this.reportedAt + REPORT_INTERVAL_MILLIS, this.digestedAt + DIGEST_INTERVAL_MILLIS);
		return Duration.ofMillis(Math.min(next - now, this.quotas.millisUntilTickDue(now)));
	}

	private void sendDigests(long now) {
		for (ServerState state : this.owner.states(now)) {
			this.entry.updateView(state.backendServer(), state);
			this.owner.sendDigest(state, now);
		}
	}

	/**
	 * Returns the backend servers whose permits this daemon grants.
	 * @return the backend servers
	 */
	public Collection<BackendServer> ownedServers() {
		return this.owner.ownedServers();
	}

	/**
	 * Returns the current states of the backend servers that this daemon owns.
	 * @return the states
	 */
	public List<ServerState> states() {
		return this.owner.states(this.clock.millis());
	}

	/**
	 * Returns whether, on any backend server owned by this daemon, a top-tier request is
	 * waiting while a lower-tier run could be preempted. This must never be the case.
	 * @return whether priority is inverted
	 */
	public boolean isPriorityInverted() {
		return this.owner.isPriorityInverted();
	}

	/**
	 * Returns how many requests of this daemon are waiting for a permit.
	 * @return the number
	 */
	public int waiting() {
		return this.entry.waiting();
	}

	/**
	 * Returns how many requests of this daemon hold a permit.
	 * @return the number
	 */
	public int running() {
		return this.entry.running();
	}

	/**
	 * Records the limits that a backend server stated in a response.
	 * @param process the process that responded
	 * @param limits the limits, or {@link StatedLimits#NONE} if it stated none
	 */
	public void recordStatedLimits(BackendProcess process, StatedLimits limits) {
		this.entry.recordStatedLimits(process, limits);
		deliverLocal();
	}

	/**
	 * Records the load that a backend server stated in a response to this daemon.
	 * @param process the process that responded
	 * @param load the load
	 */
	public void recordStatedLoad(BackendProcess process, StatedLoad load) {
		ServerView view = this.directory.view(process.server());
		if (view != null && view.server().process().equals(process)) {
			view.recordStatedLoad(load, this.clock.millis());
		}
	}

	/**
	 * Records that a process of a backend server crashed while it ran a request.
	 * @param process the process
	 * @param suspects what may be to blame, in the order in which the strikes are sent to
	 * the other daemons
	 */
	public void recordCrash(BackendProcess process, Collection<Suspect> suspects) {
		for (Suspect suspect : suspects) {
			this.strikes.record(new StrikeKey(suspect, process), this.clock.instant())
				.ifPresent(this.quarantineEffects::share);
		}
	}

	/**
	 * Records that suspects are not to blame for any crash.
	 * @param suspects a request that completed with success, or parts of a prompt on
	 * which an answer was written
	 */
	public void recordSound(Collection<Suspect> suspects) {
		List<StrikeKey> withdrawn = this.strikes.clear(suspects, this.clock.instant());
		if (!withdrawn.isEmpty()) {
			this.quarantineEffects.withdraw(withdrawn);
		}
	}

	/**
	 * Adds strikes of other daemons.
	 * @param received the strikes
	 */
	public void onStrikesReceived(Collection<Strike> received) {
		received.forEach((strike) -> this.strikes.accept(strike, this.clock.instant()));
	}

	/**
	 * Withdraws strikes that another daemon withdrew.
	 * @param keys the strikes
	 */
	public void onStrikesWithdrawn(Collection<StrikeKey> keys) {
		this.strikes.withdraw(keys, this.clock.instant());
	}

	private void send(DaemonId to, SchedulingMessage message) {
		if (this.self.equals(to)) {
			this.localMessages.addLast(message);
		}
		else {
			this.effects.send(to, message);
		}
	}

	private void deliverLocal() {
		if (this.deliveringLocal) {
			return;
		}
		this.deliveringLocal = true;
		try {
			while (!this.localMessages.isEmpty()) {
				handle(this.self, this.localMessages.removeFirst());
			}
		}
		finally {
			this.deliveringLocal = false;
		}
	}

	private void handle(DaemonId sender, SchedulingMessage message) {
		if (message instanceof PermitRequest permitRequest) {
			this.owner.onPermitRequest(sender, permitRequest, this.clock.millis());
		}
		else if (message instanceof PermitGrant grant) {
			this.entry.onGrant(sender, grant);
		}
		else if (message instanceof PermitQueued queued) {
			this.entry.onQueued(sender, queued);
		}
		else if (message instanceof PermitRefusal refusal) {
			this.entry.onRefusal(refusal);
		}
		else if (message instanceof PermitPreemption preemption) {
			this.entry.onPreemption(preemption);
		}
		else if (message instanceof ServerDigest digest) {
			this.entry.updateView(digest.state().backendServer(), digest.state());
		}
		else if (message instanceof QuotaSlice slice) {
			this.quotas.onQuotaSlice(slice, this.clock.millis());
		}
		else if (message instanceof QuotaRequest request) {
			this.quotas.onQuotaRequest(sender, request, this.clock.millis());
		}
		else {
			handleForOwner(sender, message);
		}
	}

	private void handleForOwner(DaemonId sender, SchedulingMessage message) {
		long now = this.clock.millis();
		if (message instanceof PermitRelease release) {
			if (this.owner.onRelease(release, now)) {
				this.effects.recordIsolation(sender, release);
			}
		}
		else if (message instanceof PermitWithdrawal withdrawal) {
			this.owner.onWithdrawal(withdrawal, now);
		}
		else if (message instanceof DelayProbe probe && sender.equals(this.self)) {
			this.owner.onDelayProbe(probe, now);
		}
		else if (message instanceof RunningPermits permits) {
			this.owner.onRunningPermits(sender, permits, now);
		}
		else if (message instanceof StatedLimitsReport report && this.owner.onStatedLimitsReport(report, now)) {
			this.effects.recordStatedLimits(sender, report);
		}
	}

}
