package org.sardineport.core.membership;

import java.time.InstantSource;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.identity.NetworkAddress;

/**
 * Sends messages with their news, and tells some daemons at once of what must not wait
 * for the next probe.
 */
final class Outbox {

	private final SelfState self;

	private final MemberTable table;

	private final NewsComposer news;

	private final ProbeSchedule schedule;

	private final InstantSource clock;

	private final MembershipOutput output;

	private long nextSequence;

	private int urgentRounds;

	private int urgentFanout;

	Outbox(SelfState self, MemberTable table, NewsComposer news, ProbeSchedule schedule, InstantSource clock,
			MembershipOutput output) {
		this.self = self;
		this.table = table;
		this.news = news;
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
	 * Asks a daemon whether it is alive, without waiting for its answer.
	 * @param peer the daemon
	 */
	void ask(Peer peer) {
		send(peer.member().peerAddress(), new ProbeRequest(nextSequence(), newsFor(peer)));
	}

	News newsFor(@Nullable Peer receiver) {
		return this.news.compose(this.self.member(), receiver, this.clock.instant());
	}

	/**
	 * Sends news soon, by the next calls to {@link #sendUrgent()}.
	 * @param rounds number of calls that send them, against loss
	 * @param fanout number of daemons told by each
	 */
	void hurry(int rounds, int fanout) {
		this.urgentFanout = (this.urgentRounds > 0) ? Math.max(this.urgentFanout, fanout) : fanout;
		this.urgentRounds = Math.max(this.urgentRounds, rounds);
	}

	/**
	 * Sends urgent news, if there are any.
	 */
	void sendUrgent() {
		if (this.urgentRounds > 0) {
			this.urgentRounds--;
			tellSome(this.urgentFanout);
		}
	}

	/**
	 * Sends news to daemons chosen at random.
	 * @param fanout number of daemons
	 */
	void tellSome(int fanout) {
		this.schedule.sample(this.table.present(), fanout).forEach(this::ask);
	}

}
