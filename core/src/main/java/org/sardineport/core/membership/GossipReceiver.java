package org.sardineport.core.membership;

import java.time.Duration;
import java.time.Instant;

import org.sardineport.core.fleet.Member;
import org.sardineport.core.fleet.MemberStatus;
import org.sardineport.core.identity.DaemonId;

/**
 * Applies what a received message tells about the fleet: the updates that travel with it,
 * and that its sender is alive. News is reported to the output and broadcast further. Not
 * thread-safe.
 */
final class GossipReceiver {

	/** Number of daemons that an urgent update from another daemon is forwarded to. */
	private static final int RELAYED_FANOUT = 3;

	private final SelfState self;

	private final MemberTable table;

	private final BackendUpdates backendUpdates;

	private final UpdateComposer composer;

	private final Outbox outbox;

	private final Duration notificationInterval;

	private final MembershipOutput output;

	/**
	 * Creates a receiver that applies updates to the given state.
	 * @param self state of this daemon
	 * @param table the other daemons of the region
	 * @param backendUpdates the updates about backend servers
	 * @param composer receives the members to broadcast
	 * @param outbox sends urgent updates and probes
	 * @param notificationInterval minimum time between two notifications of a daemon of
	 * its own status
	 * @param output receives the events
	 */
	GossipReceiver(SelfState self, MemberTable table, BackendUpdates backendUpdates, UpdateComposer composer,
			Outbox outbox, Duration notificationInterval, MembershipOutput output) {
		this.self = self;
		this.table = table;
		this.backendUpdates = backendUpdates;
		this.composer = composer;
		this.outbox = outbox;
		this.notificationInterval = notificationInterval;
		this.output = output;
	}

	/**
	 * Applies the updates of a message. Members of other regions are ignored.
	 * @param sender the sender of the message
	 * @param updates its updates
	 * @param rebroadcast whether to broadcast the members that changed
	 * @param now the current time
	 */
	void apply(DaemonId sender, GossipUpdates updates, boolean rebroadcast, Instant now) {
		for (Member update : updates.members()) {
			if (update.id().equals(this.self.member().id())) {
				applyToSelf(update);
			}
			else if (Region.of(update.failureDomain()).equals(Region.of(this.self.member().failureDomain()))) {
				applyToMember(update, update.id().equals(sender), rebroadcast, now);
			}
		}
		for (StrikeUpdate strike : updates.strikes()) {
			if (this.backendUpdates.add(strike, now)) {
				this.output.onStrike(strike);
				this.outbox.scheduleUrgent(1, RELAYED_FANOUT);
			}
		}
		for (LeavingUpdate leaving : updates.leavingBackends()) {
			if (this.backendUpdates.add(leaving, now)) {
				this.output.onBackendLeaving(leaving);
			}
		}
	}

	private void applyToMember(Member update, boolean direct, boolean rebroadcast, Instant now) {
		MemberTable.Change change = this.table.apply(update, direct, now);
		if (change == MemberTable.Change.NONE) {
			return;
		}
		if (rebroadcast) {
			this.composer.broadcast(update.id());
		}
		if (change.isUrgent()) {
			this.outbox.scheduleUrgent(1, RELAYED_FANOUT);
		}
		MembershipEvent event = change.event();
		if (event != null) {
			this.output.onEvent(event, update);
		}
	}

	private void applyToSelf(Member update) {
		MembershipEvent event = this.self.apply(update);
		if (event != null) {
			this.output.onEvent(event, this.self.member());
			this.outbox.scheduleUrgent(1, Outbox.URGENT_FANOUT);
		}
	}

	/**
	 * Records that a daemon is alive, as it sent a message. Clears a suspicion that has
	 * not been shared. Otherwise notifies a daemon that is suspected or dead, so that it
	 * can refute that.
	 * @param sender the daemon
	 * @param now the current time
	 */
	void handleLiveSender(DaemonId sender, Instant now) {
		Peer peer = this.table.peer(sender);
		if (peer == null) {
			return;
		}
		peer.heard(now);
		if (peer.status() == MemberStatus.ALIVE) {
			return;
		}
		if (peer.clearUnsharedSuspicion(now)) {
			this.output.onEvent(MembershipEvent.CLEARED, peer.member());
		}
		else if (peer.status() != MemberStatus.LEAVING
				&& peer.markNotified(now, now.minus(this.notificationInterval))) {
			this.outbox.probe(peer);
		}
	}

}
