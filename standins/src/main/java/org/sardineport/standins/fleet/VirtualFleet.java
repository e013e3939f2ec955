package org.sardineport.standins.fleet;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;

import org.sardineport.core.fleet.Member;
import org.sardineport.core.fleet.MemberStatus;
import org.sardineport.core.identity.DaemonId;
import org.sardineport.core.identity.FailureDomain;
import org.sardineport.core.identity.NetworkAddress;
import org.sardineport.core.membership.GossipUpdates;
import org.sardineport.core.membership.JoinResponse;
import org.sardineport.core.membership.LeavingUpdate;
import org.sardineport.core.membership.Membership;
import org.sardineport.core.membership.MembershipEvent;
import org.sardineport.core.membership.MembershipMessage;
import org.sardineport.core.membership.MembershipOutput;
import org.sardineport.core.membership.MembershipTiming;
import org.sardineport.core.membership.StrikeUpdate;
import org.sardineport.core.quarantine.StrikeKey;
import org.sardineport.standins.peer.InMemoryPeerNetwork;
import org.sardineport.standins.peer.InMemoryPeerTransport;
import org.sardineport.standins.peer.NetworkConditions;

/**
 * Memberships of several daemons, driven in virtual time from one seed. Daemons are
 * numbered from zero; daemon zero is the seed by which the others join. Not safe for use
 * by several threads.
 */
public final class VirtualFleet {

	private static final Instant START = Instant.parse("2026-12-03T08:00:00Z");

	private static final Duration STEP = Duration.ofMillis(20);

	private final VirtualClock clock = VirtualClock.startingAt(START);

	private final MembershipTiming timing;

	private final SplittableRandom random;

	private final InMemoryPeerNetwork network;

	private final List<String> failureDomains;

	private final List<Node> nodes = new ArrayList<>();

	private final List<Observation> observations = new ArrayList<>();

	private final Map<DaemonId, Set<StrikeKey>> strikes = new HashMap<>();

	private Consumer<MembershipMessage> sendListener = (message) -> {
	};

	private VirtualFleet(List<String> failureDomains, MembershipTiming timing, NetworkConditions conditions,
			long seed) {
		this.timing = timing;
		this.failureDomains = failureDomains;
		this.random = new SplittableRandom(seed);
		this.network = InMemoryPeerNetwork.create(this.clock, this.random.split(), conditions);
	}

	/**
	 * Returns a fleet whose daemons have not met yet.
	 * @param daemons number of daemons
	 * @param failureDomains their failure domains, in turn
	 * @param timing times of the membership
	 * @param conditions how the network treats messages
	 * @param seed decides all that is random
	 * @return the fleet
	 */
	public static VirtualFleet create(int daemons, List<String> failureDomains, MembershipTiming timing,
			NetworkConditions conditions, long seed) {
		VirtualFleet fleet = new VirtualFleet(List.copyOf(failureDomains), timing, conditions, seed);
		for (int i = 0; i < daemons; i++) {
			fleet.nodes.add(fleet.node(i));
		}
		return fleet;
	}

	/**
	 * Lets all daemons know each other at once, as if they had met long ago.
	 */
	public void introduceAll() {
		List<Member> daemons = this.nodes.stream().map((node) -> node.membership.members().get(0)).toList();
		for (Node receiver : this.nodes) {
			for (Member sender : daemons) {
				receiver.membership.received(sender.id(), sender.peerAddress(),
						new JoinResponse(GossipUpdates.of(sender)));
			}
		}
	}

	/**
	 * Lets time pass.
	 * @param duration how much, a multiple of 20 milliseconds
	 */
	public void run(Duration duration) {
		Instant end = this.clock.instant().plus(duration);
		while (this.clock.instant().isBefore(end)) {
			this.clock.advance(STEP);
			this.network.deliverDue();
			for (Node node : this.nodes) {
				if (node.running) {
					node.membership.tick();
				}
			}
		}
	}

	/**
	 * Lets a daemon die.
	 * @param number its number
	 */
	public void kill(int number) {
		this.nodes.get(number).running = false;
		this.nodes.get(number).transport.stop();
	}

	/**
	 * Starts a daemon's next run under the same name and address.
	 * @param number its number
	 */
	public void restart(int number) {
		kill(number);
		this.nodes.set(number, node(number));
	}

	/**
	 * Holds a daemon still. What is sent to it meanwhile is lost.
	 * @param number its number
	 */
	public void pause(int number) {
		kill(number);
	}

	/**
	 * Lets a held daemon go on.
	 * @param number its number
	 */
	public void resume(int number) {
		this.nodes.get(number).running = true;
		this.nodes.get(number).transport.start();
	}

	/**
	 * Returns the membership of a daemon.
	 * @param number its number
	 * @return the membership
	 */
	public Membership membership(int number) {
		return this.nodes.get(number).membership;
	}

	/**
	 * Returns the network.
	 * @return the network
	 */
	public InMemoryPeerNetwork network() {
		return this.network;
	}

	/**
	 * Returns the current time.
	 * @return the time
	 */
	public Instant now() {
		return this.clock.instant();
	}

	/**
	 * Returns what all daemons found out so far.
	 * @return the observations in order of time
	 */
	public List<Observation> observations() {
		return List.copyOf(this.observations);
	}

	/**
	 * Forgets what was found out so far.
	 */
	public void clearObservations() {
		this.observations.clear();
	}

	/**
	 * Sets who hears each message that is sent.
	 * @param listener hears the messages
	 */
	public void setSendListener(Consumer<MembershipMessage> listener) {
		this.sendListener = listener;
	}

	/**
	 * Returns the status in which one daemon holds another.
	 * @param observer number of the one
	 * @param subject number of the other
	 * @return the status; dead if it is not known at all
	 */
	public MemberStatus status(int observer, int subject) {
		return membership(observer).members()
			.stream()
			.filter((member) -> member.id().equals(id(subject)))
			.map(Member::status)
			.findFirst()
			.orElse(MemberStatus.DEAD);
	}

	/**
	 * Returns the strikes that a daemon has received from others.
	 * @param number its number
	 * @return keys of the strikes
	 */
	public Set<StrikeKey> receivedStrikes(int number) {
		return Set.copyOf(this.strikes.getOrDefault(id(number), Set.of()));
	}

	/**
	 * Returns the name of a daemon.
	 * @param number its number
	 * @return the name
	 */
	public static DaemonId id(int number) {
		return DaemonId.of("daemon-" + number);
	}

	/**
	 * Returns the peer address of a daemon.
	 * @param number its number
	 * @return the address
	 */
	public static NetworkAddress address(int number) {
		return NetworkAddress.of("10.0.%d.%d".formatted(number / 250, 1 + number % 250), 7000);
	}

	private Node node(int number) {
		long incarnation = this.clock.millis();
		FailureDomain domain = FailureDomain.of(this.failureDomains.get(number % this.failureDomains.size()));
		NetworkAddress address = address(number);
		Member self = new Member(id(number), incarnation, MemberStatus.ALIVE, domain, address, address, 0, 0);
		InMemoryPeerTransport transport = this.network.transport(id(number), incarnation, address);
		Membership membership = Membership.create(self, this.timing, this.clock, this.random.split(),
				new Recorder(id(number), transport));
		membership.contacts(List.of(address(0), address(1)));
		transport.listen(MembershipMessage.class, (sender, senderIncarnation, senderAddress, message) -> membership
			.received(sender, senderAddress, (MembershipMessage) message));
		transport.start();
		return new Node(membership, transport);
	}

	/**
	 * One daemon.
	 */
	private static final class Node {

		private final Membership membership;

		private final InMemoryPeerTransport transport;

		private boolean running = true;

		private Node(Membership membership, InMemoryPeerTransport transport) {
			this.membership = membership;
			this.transport = transport;
		}

	}

	/**
	 * Sends and records what a membership asks for.
	 */
	private final class Recorder implements MembershipOutput {

		private final DaemonId observer;

		private final InMemoryPeerTransport transport;

		private Recorder(DaemonId observer, InMemoryPeerTransport transport) {
			this.observer = observer;
			this.transport = transport;
		}

		@Override
		public void send(NetworkAddress to, MembershipMessage message) {
			VirtualFleet.this.sendListener.accept(message);
			this.transport.send(to, message);
		}

		@Override
		public void onEvent(MembershipEvent event, Member member) {
			VirtualFleet.this.observations
				.add(new Observation(VirtualFleet.this.clock.instant(), this.observer, event, member));
		}

		@Override
		public void onStrike(StrikeUpdate strike) {
			VirtualFleet.this.strikes.computeIfAbsent(this.observer, (daemon) -> new HashSet<>()).add(strike.key());
		}

		@Override
		public void onBackendLeaving(LeavingUpdate leaving) {
		}

	}

}
