package org.sardineport.core.membership;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
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
 * Failure detector and gossip protocol of one daemon, in the manner of SWIM: it probes
 * other daemons of its region, asks third daemons to probe those that do not respond,
 * suspects a daemon before it declares it dead, and sends updates along with the probes.
 * Its cost does not grow with the number of daemons.
 *
 * <p>
 * Deterministic and without I/O: time, randomness and output are passed in. Not safe for
 * use by several threads.
 */
public final class Membership {

	/** Number of daemons asked to probe one that does not respond. */
	private static final int INDIRECT_PROBES = 3;

	/**
	 * Number of times that the announcement of a planned stop is sent, to compensate for
	 * message loss.
	 */
	private static final int URGENT_ROUNDS = 3;

	/** Number of suspected daemons that are probed again in each interval. */
	private static final int SUSPECTS_PROBED_PER_INTERVAL = 2;

	/**
	 * Delay of a tick that is within the usual coarseness of timers.
	 */
	private static final Duration USUAL_DELAY = Duration.ofMillis(50);

	/** Time for which an answer to a probe is awaited, to learn how late it is. */
	private static final Duration LATE_ANSWER_TIME = Duration.ofSeconds(5);

	private final MembershipTiming timing;

	private final InstantSource clock;

	private final MembershipOutput output;

	private final MemberTable table;

	private final BackendUpdates backendUpdates = new BackendUpdates();

	private final UpdateComposer composer;

	private final Outbox outbox;

	private final ProbeSchedule schedule;

	private final GossipReceiver receiver;

	private final JoinResponder joinResponder;

	private final IsolationDetector isolation = new IsolationDetector();

	private final RelayedProbes relayedProbes = new RelayedProbes();

	private final JoinContacts contacts;

	private final SelfState self;

	private final List<ProbeRound> rounds = new ArrayList<>();

	private final LatenessMeter lateness;

	private final SelfProbe selfProbe;

	private Instant nextProbe;

	private Instant nextTick;

	private Membership(Member self, MembershipTiming timing, InstantSource clock, RandomGenerator random,
			MembershipOutput output) {
		this.self = new SelfState(self);
		this.timing = timing;
		this.clock = clock;
		this.output = output;
		this.table = new MemberTable(self.id());
		this.composer = new UpdateComposer(this.table, this.backendUpdates);
		this.schedule = new ProbeSchedule(this.table, random);
		this.outbox = new Outbox(this.self, this.table, this.composer, this.schedule, clock, output);
		this.receiver = new GossipReceiver(this.self, this.table, this.backendUpdates, this.composer, this.outbox,
				timing.probeInterval(), output);
		this.joinResponder = new JoinResponder(this.table, this.schedule);
		Instant now = clock.instant();
		this.lateness = new LatenessMeter(timing.probeTimeout(), now);
		this.selfProbe = new SelfProbe(timing.probeTimeout());
		this.nextTick = now;
		this.contacts = new JoinContacts(self.peerAddress(), random);
		this.nextProbe = now.plusMillis(random.nextLong(timing.probeInterval().toMillis()));
	}

	/**
	 * Returns the membership of a daemon that knows no other members yet.
	 * @param self this daemon, alive, with an incarnation greater than that of any
	 * earlier run
	 * @param timing times of the protocol
	 * @param clock the clock
	 * @param random source of randomness
	 * @param output receives messages to send and events
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
	 * Returns this daemon and all other known daemons of the region. Dead daemons are
	 * included until they are forgotten.
	 * @return the members, this daemon first
	 */
	public List<Member> members() {
		return Stream.concat(Stream.of(this.self.member()), this.table.peers().stream().map(Peer::member)).toList();
	}

	/**
	 * Replaces the addresses at which unknown daemons may be found.
	 * @param addresses peer addresses, from settings and the VM list
	 */
	public void contacts(Collection<NetworkAddress> addresses) {
		this.contacts.replace(addresses);
	}

	/**
	 * Sets the values that this daemon reports of itself.
	 * @param configurationVersion version in force here
	 * @param load share of its capacity in use, 0 to 100
	 */
	public void report(long configurationVersion, int load) {
		this.self.report(configurationVersion, load);
	}

	/**
	 * Announces a planned stop to the other members, with the next ticks. Has no effect
	 * unless this daemon is alive.
	 */
	public void leave() {
		if (this.self.member().status() == MemberStatus.ALIVE) {
			this.self.changeStatus(MemberStatus.LEAVING);
			this.outbox.scheduleUrgent(URGENT_ROUNDS, Outbox.URGENT_FANOUT);
			rescheduleTick(this.clock.instant());
		}
	}

	/**
	 * Announces to other members that this daemon stops now, so that they need not detect
	 * it.
	 */
	public void announceStopped() {
		this.self.changeStatus(MemberStatus.DEAD);
		this.outbox.sendToRandom(Outbox.URGENT_FANOUT);
	}

	/**
	 * Broadcasts a strike to all members, beginning with the next tick.
	 * @param strike the strike
	 */
	public void broadcast(StrikeUpdate strike) {
		if (this.backendUpdates.add(strike, this.clock.instant())) {
			this.outbox.scheduleUrgent(1, Outbox.URGENT_FANOUT);
			rescheduleTick(this.clock.instant());
		}
	}

	/**
	 * Broadcasts that a backend server has reported that it is leaving.
	 * @param leaving the backend server and the age of its report
	 */
	public void broadcast(LeavingUpdate leaving) {
		this.backendUpdates.add(leaving, this.clock.instant());
	}

	/**
	 * Returns how long {@link #tick()} has nothing to do, provided that no message is
	 * received and no other method is called before.
	 * @return the time; negative if it is overdue
	 */
	public Duration untilTickDue() {
		return Duration.between(this.clock.instant(), this.nextTick);
	}

	/**
	 * Sends the probes and updates that are due and declares daemons dead whose suspicion
	 * timed out. Must be called when it is due, see {@link #untilTickDue()}. If it is
	 * called late, others are told to allow for that, and so does this daemon: what it
	 * waits for is postponed by the delay, and after a pause longer than the probe
	 * interval the suspicion timeouts start again.
	 */
	public void tick() {
		Instant now = this.clock.instant();
		measureLateness(now);
		this.rounds.forEach((round) -> probeIndirectlyIfDue(round, now));
		declareDead(now);
		finishRounds(now);
		if (!now.isBefore(this.nextProbe)) {
			this.nextProbe = now.plus(this.timing.probeInterval());
			startRound(now);
			probeSuspects(now);
			this.table.removeExpiredDead(now);
			this.backendUpdates.removeExpired(now);
		}
		this.outbox.sendUrgent();
		this.contacts.due(now, this.table)
			.forEach((contact) -> this.outbox.send(contact.address(),
					new JoinRequest(contact.complete(), this.outbox.updatesFor(null))));
		scheduleTick(now);
	}

	private void scheduleTick(Instant now) {
		Instant next = earlier(this.nextProbe, this.contacts.nextDue());
		for (ProbeRound round : this.rounds) {
			next = earlier(next, round.nextDue());
		}
		if (!this.isolation.isIsolated()) {
			for (Peer peer : this.table.peers()) {
				Instant end = suspicionEnd(peer);
				next = (end != null) ? earlier(next, selfProbeTime(end, now)) : next;
			}
		}
		this.nextTick = (this.outbox.isUrgent() || next.isBefore(now)) ? now : next;
	}

	// A tick that is overdue keeps its time, so that its delay is seen.
	private void rescheduleTick(Instant now) {
		if (!this.nextTick.isBefore(now)) {
			scheduleTick(now);
		}
	}

	// The probe precedes the end of the suspicion, and is awaited at that time.
	private Instant selfProbeTime(Instant suspicionEnd, Instant now) {
		Instant lead = suspicionEnd.minus(this.timing.probeTimeout());
		return (now.isBefore(lead)) ? lead : suspicionEnd;
	}

	private static Instant earlier(Instant one, Instant other) {
		return (one.isBefore(other)) ? one : other;
	}

	/**
	 * Handles a message from another daemon. Of the messages from this daemon itself only
	 * its probes count, which tell how far it has read what it received.
	 * @param sender name of the sender
	 * @param address peer address of the sender
	 * @param message the message
	 */
	public void received(DaemonId sender, NetworkAddress address, MembershipMessage message) {
		Objects.requireNonNull(message, "message must not be null");
		if (sender.equals(this.self.member().id())) {
			if (message instanceof ProbeRequest probe) {
				this.selfProbe.read(probe.sequence());
			}
			return;
		}
		Instant now = this.clock.instant();
		handle(sender, address, message, now);
		rescheduleTick(now);
	}

	private void handle(DaemonId sender, NetworkAddress address, MembershipMessage message, Instant now) {
		boolean rebroadcast = !(message instanceof JoinResponse) || this.contacts.isSettled(now);
		this.receiver.apply(sender, message.updates(), rebroadcast, now);
		this.receiver.handleLiveSender(sender, now);
		if (message instanceof ProbeRequest probe) {
			this.outbox.send(address,
					new ProbeResponse(probe.sequence(), this.outbox.updatesFor(this.table.peer(sender))));
		}
		else if (message instanceof ProbeResponse response) {
			handleProbeResponse(response.sequence(), now);
		}
		else if (message instanceof IndirectProbeRequest indirect) {
			relayProbe(indirect, address, now);
		}
		else if (message instanceof JoinRequest join) {
			Peer requester = this.table.peer(sender);
			this.joinResponder.respond(join, requester, this.outbox.updatesFor(requester))
				.forEach((response) -> this.outbox.send(address, response));
		}
		else {
			this.contacts.joined(now);
			if (this.table.peer(sender) == null) {
				this.contacts.otherRegion(address, now);
			}
		}
	}

	private void measureLateness(Instant now) {
		Duration delay = Duration.between(this.nextTick, now);
		if (this.lateness.ran(now, this.nextTick).compareTo(this.timing.probeInterval()) > 0) {
			this.rounds.clear();
			this.table.peers().forEach((peer) -> peer.restartSuspicion(now));
		}
		else if (delay.compareTo(USUAL_DELAY) > 0) {
			this.rounds.forEach((round) -> round.postpone(delay));
			this.table.peers().forEach((peer) -> peer.postponeSuspicion(delay));
		}
		if (this.self.reportLateness(this.lateness.lateness())) {
			this.outbox.scheduleUrgent(1, Outbox.URGENT_FANOUT);
		}
	}

	// A daemon that is late replies late, and one that is late itself reads replies late.
	private Duration allowance(Peer peer) {
		Duration own = this.self.member().lateness();
		Duration other = peer.member().lateness();
		return (own.compareTo(other) > 0) ? own : other;
	}

	private void startRound(Instant now) {
		Peer target = this.schedule.next();
		if (target == null) {
			return;
		}
		ProbeRound round = new ProbeRound(this.outbox.nextSequence(), target, now, now.plus(this.timing.probeTimeout()),
				now.plus(this.timing.probeInterval()).plus(allowance(target)));
		this.rounds.add(round);
		this.outbox.send(target.member().peerAddress(),
				new ProbeRequest(round.sequence(), this.outbox.updatesFor(target)));
	}

	private void probeIndirectlyIfDue(ProbeRound current, Instant now) {
		if (!current.startIndirect(now)) {
			return;
		}
		Peer target = current.target();
		List<Peer> others = this.table.present();
		others.removeIf((peer) -> peer == target || peer.suspectedAt() != null);
		for (Peer other : this.schedule.sample(others, INDIRECT_PROBES)) {
			this.outbox.send(other.member().peerAddress(), new IndirectProbeRequest(current.sequence(),
					target.member().id(), target.member().peerAddress(), this.outbox.updatesFor(other)));
		}
	}

	private void finishRounds(Instant now) {
		List<ProbeRound> failed = this.rounds.stream().filter((round) -> round.fails(now)).toList();
		Instant oldest = now.minus(LATE_ANSWER_TIME);
		this.rounds.removeIf((round) -> round.startedAt().isBefore(oldest));
		failed.stream().map(ProbeRound::target).filter(Peer::isPresent).forEach((target) -> suspect(target, now));
	}

	private void suspect(Peer target, Instant now) {
		if (this.isolation.timedOut(target.member().id())) {
			beginIsolation();
		}
		boolean isNew = target.suspectedAt() == null;
		if (target.suspectLocally(!this.isolation.isIsolated(), now)) {
			this.composer.broadcast(target.member().id());
			this.outbox.scheduleUrgent(1, Outbox.URGENT_FANOUT);
		}
		if (isNew) {
			this.output.onEvent(MembershipEvent.SUSPECTED, target.member());
			this.outbox.probe(target);
		}
	}

	private void beginIsolation() {
		for (Peer peer : this.table.peers()) {
			if (peer.isLocallySuspected()) {
				peer.unshareSuspicion();
				this.composer.cancelBroadcast(peer.member().id());
			}
		}
		this.output.onEvent(MembershipEvent.ISOLATED, this.self.member());
	}

	private void probeSuspects(Instant now) {
		List<Peer> suspects = this.table.present();
		suspects.removeIf((peer) -> !peer.isLocallySuspected() || now.equals(peer.suspectedAt()));
		this.schedule.sample(suspects, SUSPECTS_PROBED_PER_INTERVAL).forEach(this.outbox::probe);
	}

	private void declareDead(Instant now) {
		if (this.isolation.isIsolated()) {
			return;
		}
		Instant neededRead = Instant.MIN;
		for (Peer peer : this.table.peers()) {
			Instant end = suspicionEnd(peer);
			Instant needed = (end != null) ? end.minus(this.timing.probeTimeout()) : Instant.MAX;
			if (end == null || now.isBefore(needed)) {
				continue;
			}
			neededRead = (needed.isAfter(neededRead)) ? needed : neededRead;
			if (!now.isBefore(end) && isOwnReadingInTime(needed, end, now)) {
				declareDead(peer, now);
			}
		}
		if (!neededRead.equals(Instant.MIN) && this.selfProbe.isDue(neededRead, now)) {
			probeSelf(now);
		}
	}

	private @Nullable Instant suspicionEnd(Peer peer) {
		return (peer.suspectedAt() != null) ? peer.suspicionEnd(this.timing.suspicionTimeout(), allowance(peer)) : null;
	}

	// A response or refutation may have come that this daemon has not read yet. Probes of
	// itself may be lost, so the wait for them is bounded.
	private boolean isOwnReadingInTime(Instant needed, Instant suspicionEnd, Instant now) {
		return this.selfProbe.hasReadUntil(needed) || !now.isBefore(suspicionEnd.plus(Member.MAXIMUM_LATENESS));
	}

	private void declareDead(Peer peer, Instant now) {
		peer.markDead(now);
		this.composer.broadcast(peer.member().id());
		this.outbox.scheduleUrgent(1, Outbox.URGENT_FANOUT);
		this.output.onEvent(MembershipEvent.DIED, peer.member());
	}

	private void probeSelf(Instant now) {
		long sequence = this.outbox.nextSequence();
		this.selfProbe.sent(sequence, now);
		this.outbox.send(this.self.member().peerAddress(),
				new ProbeRequest(sequence, GossipUpdates.of(this.self.member())));
	}

	private void handleProbeResponse(long sequence, Instant now) {
		if (this.isolation.responseReceived()) {
			this.table.peers().forEach((peer) -> peer.restartSuspicion(now));
			this.output.onEvent(MembershipEvent.REJOINED, this.self.member());
		}
		this.rounds.stream().filter((round) -> round.sequence() == sequence).findFirst().ifPresent((round) -> {
			this.rounds.remove(round);
			this.lateness.answered(Duration.between(round.startedAt(), now));
		});
		RelayedProbes.RelayedProbe relayed = this.relayedProbes.take(sequence, now);
		if (relayed != null) {
			this.outbox.send(relayed.origin(),
					new ProbeResponse(relayed.originSequence(), this.outbox.updatesFor(null)));
		}
	}

	private void relayProbe(IndirectProbeRequest request, NetworkAddress origin, Instant now) {
		long sequence = this.outbox.nextSequence();
		this.relayedProbes.add(sequence, origin, request.sequence(), now.plus(this.timing.probeInterval()));
		this.outbox.send(request.targetAddress(),
				new ProbeRequest(sequence, this.outbox.updatesFor(this.table.peer(request.target()))));
	}

}
