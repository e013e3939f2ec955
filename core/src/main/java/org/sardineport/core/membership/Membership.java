package org.sardineport.core.membership;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Collection;
import java.util.List;
import java.util.Objects;
import java.util.random.RandomGenerator;
import java.util.stream.Stream;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.fleet.Member;
import org.sardineport.core.fleet.MemberStatus;
import org.sardineport.core.identity.DaemonId;
import org.sardineport.core.identity.NetworkAddress;

/**
 * Which daemons of the region are alive, as one daemon finds out: it probes others, asks
 * third daemons to probe those that don't answer, suspects before it declares dead, and
 * passes on news with the probes. Its cost does not grow with the number of daemons.
 *
 * <p>
 * Pure: time, randomness and output are passed in. Not safe for use by several threads.
 */
public final class Membership {

	/** Number of daemons asked to probe one that does not answer. */
	private static final int INDIRECT_PROBES = 3;

	/** Number of daemons told at once of what must not wait for the next probe. */
	private static final int URGENT_FANOUT = 8;

	/** Number of daemons told at once of such news that came from another. */
	private static final int RELAYED_FANOUT = 3;

	/** Number of times that such news are sent, against loss. */
	private static final int URGENT_ROUNDS = 3;

	/** Number of suspected daemons asked again in each interval. */
	private static final int SUSPECTS_ASKED = 2;

	private final MembershipTiming timing;

	private final InstantSource clock;

	private final MembershipOutput output;

	private final MemberTable table;

	private final SharedNews shared = new SharedNews();

	private final NewsComposer news;

	private final Outbox outbox;

	private final ProbeSchedule schedule;

	private final JoinAnswers joinAnswers;

	private final SelfDoubt doubt = new SelfDoubt();

	private final Relays relays = new Relays();

	private final JoinContacts contacts;

	private final SelfState self;

	private @Nullable ProbeRound round;

	private Instant lastTick;

	private Instant nextProbe;

	private Membership(Member self, MembershipTiming timing, InstantSource clock, RandomGenerator random,
			MembershipOutput output) {
		this.self = new SelfState(self);
		this.timing = timing;
		this.clock = clock;
		this.output = output;
		this.table = new MemberTable(self.id());
		this.news = new NewsComposer(this.table, this.shared);
		this.schedule = new ProbeSchedule(this.table, random);
		this.outbox = new Outbox(this.self, this.table, this.news, this.schedule, clock, output);
		this.joinAnswers = new JoinAnswers(this.table, this.schedule);
		this.lastTick = clock.instant();
		this.contacts = new JoinContacts(self.peerAddress(), random);
		this.nextProbe = this.lastTick.plusMillis(random.nextLong(timing.probeInterval().toMillis()));
	}

	/**
	 * Returns the membership of a daemon that knows nobody yet.
	 * @param self this daemon, alive, with an incarnation greater than that of any
	 * earlier run
	 * @param timing times of the protocol
	 * @param clock the clock
	 * @param random source of randomness
	 * @param output hears what to do
	 * @return the membership
	 */
	public static Membership create(Member self, MembershipTiming timing, InstantSource clock, RandomGenerator random,
			MembershipOutput output) {
		Objects.requireNonNull(self, "self must not be null");
		Objects.requireNonNull(timing, "timing must not be null");
		Objects.requireNonNull(clock, "clock must not be null");
		Objects.requireNonNull(random, "random must not be null");
		Objects.requireNonNull(output, "output must not be null");
		return new Membership(self, timing, clock, random, output);
	}

	/**
	 * Returns this daemon and all others of the region that are remembered.
	 * @return the members, this daemon first
	 */
	public List<Member> members() {
		return Stream.concat(Stream.of(this.self.member()), this.table.peers().stream().map(Peer::member)).toList();
	}

	/**
	 * Takes the addresses by which daemons may be found that are not known yet.
	 * @param addresses peer addresses, from settings and the VM list
	 */
	public void contacts(Collection<NetworkAddress> addresses) {
		this.contacts.replace(addresses);
	}

	/**
	 * Takes what this daemon tells of itself.
	 * @param configurationVersion version in force here
	 * @param load share of its capacity in use, 0 to 100
	 */
	public void report(long configurationVersion, int load) {
		this.self.report(configurationVersion, load);
	}

	/**
	 * Announces a planned stop to the others at once.
	 */
	public void leave() {
		if (this.self.member().status() == MemberStatus.ALIVE) {
			this.self.become(MemberStatus.LEAVING);
			this.outbox.hurry(URGENT_ROUNDS, URGENT_FANOUT);
		}
	}

	/**
	 * Tells the others that this daemon ends now, so that nobody has to find out.
	 */
	public void left() {
		this.self.become(MemberStatus.DEAD);
		this.outbox.tellSome(URGENT_FANOUT);
	}

	/**
	 * Tells all daemons of a strike.
	 * @param strike the strike
	 */
	public void tell(StrikeNews strike) {
		this.shared.add(strike, this.clock.instant());
	}

	/**
	 * Tells all daemons that a backend server said that it leaves.
	 * @param leaving the news
	 */
	public void tell(LeavingNews leaving) {
		this.shared.add(leaving, this.clock.instant());
	}

	/**
	 * Does what is due. Called several times within the probe timeout.
	 */
	public void tick() {
		Instant now = this.clock.instant();
		forgiveStall(now);
		askOthersIfDue(now);
		declareDeaths(now);
		if (!now.isBefore(this.nextProbe)) {
			this.nextProbe = now.plus(this.timing.probeInterval());
			finishRound(now);
			startRound(now);
			askSuspectsAgain(now);
			this.table.forgetDead(now);
			this.shared.forgetEnded(now);
		}
		this.outbox.sendUrgent();
		this.contacts.due(now, this.table)
			.forEach((contact) -> this.outbox.send(contact.address(),
					new JoinRequest(contact.complete(), this.outbox.newsFor(null))));
	}

	/**
	 * Takes a message of another daemon.
	 * @param sender name of the sender
	 * @param address peer address of the sender
	 * @param message the message
	 */
	public void received(DaemonId sender, NetworkAddress address, MembershipMessage message) {
		Objects.requireNonNull(message, "message must not be null");
		if (sender.equals(this.self.member().id())) {
			return;
		}
		Instant now = this.clock.instant();
		hear(sender, message, now);
		heardFrom(sender, now);
		if (message instanceof ProbeRequest probe) {
			this.outbox.send(address,
					new ProbeResponse(probe.sequence(), this.outbox.newsFor(this.table.peer(sender))));
		}
		else if (message instanceof ProbeResponse answer) {
			answered(answer.sequence(), now);
		}
		else if (message instanceof IndirectProbeRequest indirect) {
			relay(indirect, address, now);
		}
		else if (message instanceof JoinRequest join) {
			Peer asker = this.table.peer(sender);
			this.joinAnswers.answer(join, asker, this.outbox.newsFor(asker))
				.forEach((answer) -> this.outbox.send(address, answer));
		}
		else {
			this.contacts.joined(now);
			if (this.table.peer(sender) == null) {
				this.contacts.elsewhere(address, now);
			}
		}
	}

	private void forgiveStall(Instant now) {
		Duration gap = Duration.between(this.lastTick, now);
		if (gap.compareTo(this.timing.probeInterval()) > 0) {
			this.round = null;
			this.table.peers().forEach((peer) -> peer.suspectedSince(now));
		}
		this.lastTick = now;
	}

	private void startRound(Instant now) {
		Peer target = this.schedule.next();
		if (target == null) {
			return;
		}
		this.round = new ProbeRound(this.outbox.nextSequence(), target, now.plus(this.timing.probeTimeout()));
		this.outbox.send(target.member().peerAddress(),
				new ProbeRequest(this.round.sequence(), this.outbox.newsFor(target)));
	}

	private void askOthersIfDue(Instant now) {
		ProbeRound current = this.round;
		if (current == null || !current.askOthers(now)) {
			return;
		}
		Peer target = current.target();
		List<Peer> others = this.table.present();
		others.removeIf((peer) -> peer == target || peer.suspectedAt() != null);
		for (Peer other : this.schedule.sample(others, INDIRECT_PROBES)) {
			this.outbox.send(other.member().peerAddress(), new IndirectProbeRequest(current.sequence(),
					target.member().id(), target.member().peerAddress(), this.outbox.newsFor(other)));
		}
	}

	private void finishRound(Instant now) {
		ProbeRound finished = this.round;
		this.round = null;
		if (finished == null || !finished.target().isPresent()) {
			return;
		}
		Peer target = finished.target();
		if (this.doubt.unanswered(target.member().id())) {
			beginDoubt();
		}
		boolean isNew = target.suspectedAt() == null;
		if (target.accuse(!this.doubt.isActive(), now)) {
			this.news.spread(target.member().id());
			this.outbox.hurry(1, URGENT_FANOUT);
		}
		if (isNew) {
			this.output.happened(MembershipEvent.SUSPECTED, target.member());
			this.outbox.ask(target);
		}
	}

	private void beginDoubt() {
		for (Peer peer : this.table.peers()) {
			if (peer.isAccusedBySelf()) {
				peer.withdrawAccusation();
				this.news.withhold(peer.member().id());
			}
		}
		this.output.happened(MembershipEvent.ISOLATED, this.self.member());
	}

	private void askSuspectsAgain(Instant now) {
		List<Peer> suspects = this.table.present();
		suspects.removeIf((peer) -> !peer.isAccusedBySelf() || now.equals(peer.suspectedAt()));
		this.schedule.sample(suspects, SUSPECTS_ASKED).forEach(this.outbox::ask);
	}

	private void declareDeaths(Instant now) {
		if (this.doubt.isActive()) {
			return;
		}
		for (Peer peer : this.table.peers()) {
			if (peer.isOverdue(now, this.timing.suspicionTimeout())) {
				peer.die(now);
				this.news.spread(peer.member().id());
				this.outbox.hurry(1, URGENT_FANOUT);
				this.output.happened(MembershipEvent.DIED, peer.member());
			}
		}
	}

	private void hear(DaemonId sender, MembershipMessage message, Instant now) {
		News heard = message.news();
		boolean spreads = !(message instanceof JoinResponse) || this.contacts.isSettled(now);
		for (Member update : heard.members()) {
			if (update.id().equals(this.self.member().id())) {
				hearOfSelf(update);
			}
			else if (Region.of(update.failureDomain()).equals(Region.of(this.self.member().failureDomain()))) {
				hearOf(update, update.id().equals(sender), spreads, now);
			}
		}
		for (StrikeNews strike : heard.strikes()) {
			if (this.shared.add(strike, now)) {
				this.output.strikeHeard(strike);
			}
		}
		for (LeavingNews leaving : heard.leavingBackends()) {
			if (this.shared.add(leaving, now)) {
				this.output.leavingHeard(leaving);
			}
		}
	}

	private void hearOf(Member update, boolean direct, boolean spreads, Instant now) {
		MemberTable.Change change = this.table.apply(update, direct, now);
		if (change == MemberTable.Change.NONE) {
			return;
		}
		if (spreads) {
			this.news.spread(update.id());
		}
		if (change.isUrgent()) {
			this.outbox.hurry(1, RELAYED_FANOUT);
		}
		MembershipEvent event = change.event();
		if (event != null) {
			this.output.happened(event, update);
		}
	}

	private void hearOfSelf(Member update) {
		MembershipEvent event = this.self.hear(update);
		if (event != null) {
			this.output.happened(event, this.self.member());
			this.outbox.hurry(1, URGENT_FANOUT);
		}
	}

	private void heardFrom(DaemonId sender, Instant now) {
		Peer peer = this.table.peer(sender);
		if (peer == null || peer.status() == MemberStatus.ALIVE) {
			return;
		}
		if (peer.acquit(now)) {
			this.output.happened(MembershipEvent.CLEARED, peer.member());
		}
		else if (peer.status() != MemberStatus.LEAVING && peer.challenge(now, now.minus(this.timing.probeInterval()))) {
			this.outbox.ask(peer);
		}
	}

	private void answered(long sequence, Instant now) {
		if (this.doubt.answered()) {
			this.table.peers().forEach((peer) -> peer.suspectedSince(now));
			this.output.happened(MembershipEvent.REJOINED, this.self.member());
		}
		if (this.round != null && this.round.sequence() == sequence) {
			this.round = null;
		}
		Relays.Relay relay = this.relays.take(sequence, now);
		if (relay != null) {
			this.outbox.send(relay.origin(), new ProbeResponse(relay.originSequence(), this.outbox.newsFor(null)));
		}
	}

	private void relay(IndirectProbeRequest request, NetworkAddress origin, Instant now) {
		long sequence = this.outbox.nextSequence();
		this.relays.add(sequence, origin, request.sequence(), now.plus(this.timing.probeInterval()));
		this.outbox.send(request.targetAddress(),
				new ProbeRequest(sequence, this.outbox.newsFor(this.table.peer(request.target()))));
	}

}
