package org.sardineport.core.scheduling;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.sardineport.core.admission.RunEnd;
import org.sardineport.core.admission.RunMeasurement;
import org.sardineport.core.backend.BackendServer;
import org.sardineport.core.backend.LoadReport;
import org.sardineport.core.identity.BackendServerId;
import org.sardineport.core.identity.DaemonId;
import org.sardineport.core.routing.ServerState;

/**
 * Owner side of the scheduler: takes and gives up the ownership of backend servers as the
 * directory changes, and passes each event to the {@link PermitOwner} of its backend
 * server. Events for backend servers that this daemon does not own are ignored, except
 * permit requests, which are refused. All times are milliseconds of the same clock. Not
 * thread-safe.
 */
final class OwnerScheduler {

	private final DaemonId self;

	private final SchedulingLimits limits;

	private final PoolDirectory directory;

	private final MessageOutbox outbox;

	private final SchedulingEffects effects;

	private final DigestSubscriptions subscriptions = new DigestSubscriptions();

	private final ReadDelay readDelay;

	private final Map<BackendServerId, PermitOwner> owners = new LinkedHashMap<>();

	private final Map<BackendServerId, ServerModel> models = new HashMap<>();

	/**
	 * Creates an owner side without backend servers.
	 * @param self this daemon
	 * @param limits its limits
	 * @param directory determines which backend servers this daemon owns
	 * @param outbox outbox for replies and digests to entries
	 * @param effects receives probes of this daemon to itself, and what it decides as an
	 * owner
	 */
	OwnerScheduler(DaemonId self, SchedulingLimits limits, PoolDirectory directory, MessageOutbox outbox,
			SchedulingEffects effects) {
		this.self = self;
		this.limits = limits;
		this.directory = directory;
		this.outbox = outbox;
		this.effects = effects;
		this.readDelay = new ReadDelay(self, (sequence) -> effects.send(self, new DelayProbe(sequence)));
	}

	/**
	 * Adopts the owners and backend servers of the directory after a change. Keeps the
	 * models of backend servers that are still known, in case their ownership returns.
	 * @param now the current time
	 */
	void onOwnersChanged(long now) {
		for (PermitOwner owner : new ArrayList<>(this.owners.values())) {
			BackendServerId id = owner.server().id();
			if (!this.directory.isOwner(id)) {
				this.owners.remove(id);
				this.subscriptions.remove(id);
				owner.resign(now);
				this.effects.recordOwnership(id, false);
			}
		}
		this.directory.owned().forEach((server) -> takeOwnership(server, now));
		this.models.keySet().removeIf((id) -> this.directory.view(id) == null);
	}

	private void takeOwnership(BackendServer server, long now) {
		PermitOwner former = this.owners.get(server.id());
		if (former != null && former.server().equals(server)) {
			return;
		}
		boolean restarted = former != null && server.isRestartOf(former.server());
		boolean knownIdle = restarted || this.directory.isFleetNew();
		PermitOwner owner = new PermitOwner(server, model(server, now), this.outbox, this.limits.permitLifetime(),
				this.readDelay, knownIdle, now);
		this.owners.put(server.id(), owner);
		if (former != null) {
			former.handOver(owner, now);
		}
		else {
			this.effects.recordOwnership(server.id(), true);
		}
	}

	private ServerModel model(BackendServer server, long now) {
		ServerModel known = this.models.get(server.id());
		if (known != null && known.server().equals(server)) {
			known.resetRunning(now);
			return known;
		}
		ServerModel created = new ServerModel(server, this.limits.assumptions());
		this.models.put(server.id(), created);
		return created;
	}

	/**
	 * Drops the waiting requests of daemons that the directory no longer lists as
	 * present, and starts the grace period of their permits.
	 * @param now the current time
	 */
	void onEntriesChanged(long now) {
		this.owners.values().forEach((owner) -> owner.onEntriesChanged(this.directory.presentDaemons(), now));
	}

	void onLoadReport(LoadReport report, long now) {
		PermitOwner owner = this.owners.get(report.backendServer());
		if (owner != null) {
			owner.onLoadReport(report, now);
		}
	}

	/**
	 * Handles a permit request, and subscribes its entry to digests if that is another
	 * daemon. Refused if this daemon does not own the backend server.
	 * @param sender the entry
	 * @param permitRequest the permit request
	 * @param now the current time
	 */
	void onPermitRequest(DaemonId sender, PermitRequest permitRequest, long now) {
		PermitOwner owner = this.owners.get(permitRequest.backendServer());
		if (owner == null) {
			this.outbox.send(sender, new PermitRefusal(permitRequest.request(), permitRequest.backendServer(),
					PermitDenial.NOT_OWNER, Duration.ZERO, null));
			return;
		}
		if (!this.self.equals(sender)) {
			this.readDelay.messageRead();
			this.subscriptions.add(permitRequest.backendServer(), sender, now);
		}
		owner.request(sender, permitRequest, now);
	}

	void onDelayProbe(DelayProbe probe, long now) {
		this.readDelay.onProbe(probe.sequence(), now);
	}

	/**
	 * Handles the end of the use of a permit.
	 * @param release the permit, and what was measured
	 * @param now the current time
	 * @return whether the backend server is isolated because of it
	 */
	boolean onRelease(PermitRelease release, long now) {
		PermitOwner owner = this.owners.get(release.backendServer());
		return owner != null && owner.release(release.request(), release.measurement(), now);
	}

	void onWithdrawal(PermitWithdrawal withdrawal, long now) {
		PermitOwner owner = this.owners.get(withdrawal.backendServer());
		if (owner != null) {
			owner.release(withdrawal.request(), RunMeasurement.none(RunEnd.UNUSED), now);
		}
	}

	void onRunningPermits(DaemonId sender, RunningPermits permits, long now) {
		PermitOwner owner = this.owners.get(permits.backendServer());
		if (owner != null) {
			owner.onRunningPermits(sender, permits.running(), now);
		}
	}

	/**
	 * Applies the limits that a backend server stated to an entry.
	 * @param report what was stated, and how long ago
	 * @param now the current time
	 * @return whether this daemon owns the backend server, and other limits apply than
	 * before
	 */
	boolean onStatedLimitsReport(StatedLimitsReport report, long now) {
		PermitOwner owner = this.owners.get(report.process().server());
		return owner != null && owner.onStatedLimitsReport(report, now);
	}

	boolean isIdle() {
		return this.readDelay.isIdle() && this.owners.values().stream().allMatch(PermitOwner::isIdle);
	}

	void tick(long now) {
		this.readDelay.tick(now).ifPresent(this.effects::recordRequestShare);
		for (PermitOwner owner : this.owners.values()) {
			owner.tick(now);
			owner.takeCapacityChanges().forEach((change) -> this.effects.recordCapacity(owner.server().id(), change));
		}
	}

	/**
	 * Sends the current state of a backend server to the entries that subscribed to it.
	 * @param state the state
	 * @param now the current time
	 */
	void sendDigest(ServerState state, long now) {
		this.subscriptions.takeDue(state.backendServer(), now)
			.forEach((entry) -> this.outbox.send(entry, new ServerDigest(state)));
	}

	Collection<BackendServer> ownedServers() {
		return this.owners.values().stream().map(PermitOwner::server).toList();
	}

	/**
	 * Returns the states of the owned backend servers, in the order in which their
	 * ownership was taken.
	 * @param now the current time
	 * @return the states
	 */
	List<ServerState> states(long now) {
		return this.owners.values().stream().map((owner) -> owner.state(now)).toList();
	}

	/**
	 * Returns whether a top-tier request is waiting on any owned backend server although
	 * a lower-tier run could be preempted there.
	 * @return whether priority is inverted
	 */
	boolean isPriorityInverted() {
		return this.owners.values().stream().anyMatch(PermitOwner::isPriorityInverted);
	}

}
