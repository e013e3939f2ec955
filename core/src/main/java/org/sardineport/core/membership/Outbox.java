package org.sardineport.core.membership;

import java.time.InstantSource;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.identity.NetworkAddress;

/**
 * Sends messages together with their updates. Urgent updates go to randomly chosen
 * daemons without waiting for the next probe.
 */
final class Outbox {

	/**
	 * Number of daemons that an urgent update is sent to without waiting for the next
	 * probe.
	 */
	static final int URGENT_FANOUT = 8;

	private final SelfState self;

	private final MemberTable table;

	private final UpdateComposer composer;

	private final ProbeSchedule schedule;

	private final InstantSource clock;

	private final MembershipOutput output;

	private long nextSequence;

	private int urgentRounds;

	private int urgentFanout;

	Outbox(SelfState self, MemberTable table, UpdateComposer composer, ProbeSchedule schedule, InstantSource clock,
			MembershipOutput output) {
		this.self = self;
		this.table = table;
		this.composer = composer;
		this.schedule = schedule;
		this.clock = clock;
		this.output = output;
	}

	long nextSequence() {
		return this.nextSequence++;
	}

	void send(NetworkAddress to, MembershipMessage message) {
		this.output.send(to, message);
	}

	/**
	 * Probes a daemon outside of the probe rounds: a missing response has no effect.
	 * @param peer the daemon
	 */
	void probe(Peer peer) {
		send(peer.member().peerAddress(), new ProbeRequest(nextSequence(), updatesFor(peer)));
	}

	GossipUpdates updatesFor(@Nullable Peer receiver) {
		return this.composer.compose(this.self.member(), receiver, this.clock.instant());
	}

	/**
	 * Schedules urgent updates to be sent by the next calls to {@link #sendUrgent()}.
	 * @param rounds number of calls that send them; more than one compensates for message
	 * loss
	 * @param fanout number of daemons that each call sends to
	 */
	void scheduleUrgent(int rounds, int fanout) {
		this.urgentFanout = (this.urgentRounds > 0) ? Math.max(this.urgentFanout, fanout) : fanout;
		this.urgentRounds = Math.max(this.urgentRounds, rounds);
	}

	boolean isUrgent() {
		return this.urgentRounds > 0;
	}

	/**
	 * Sends urgent updates, if any are scheduled.
	 */
	void sendUrgent() {
		if (this.urgentRounds > 0) {
			this.urgentRounds--;
			sendToRandom(this.urgentFanout);
		}
	}

	/**
	 * Sends updates to daemons chosen at random.
	 * @param fanout maximum number of daemons
	 */
	void sendToRandom(int fanout) {
		this.schedule.sample(this.table.present(), fanout).forEach(this::probe);
	}

}
