package org.sardineport.standins.fleet;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
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
 * Simulated fleet that runs the membership of several daemons in virtual time,
 * reproducibly for a seed. Daemons are numbered from zero; the others join by daemons
 * zero and one. Not thread-safe.
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
	 * Creates a fleet whose daemons do not know each other yet.
	 * @param daemons number of daemons
	 * @param failureDomains failure domains, assigned to the daemons in turn
	 * @param timing intervals and timeouts of the membership
	 * @param conditions loss, duplication and delay of messages
	 * @param seed seed of all randomness
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
	 * Makes all daemons known to each other directly, so that a large fleet need not go
	 * through the join protocol.
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
	 * Advances virtual time, delivers messages and runs the daemons.
	 * @param duration how far, rounded up to a multiple of 20 milliseconds
	 */
	public void run(Duration duration) {
		Instant end = this.clock.instant().plus(duration);
		while (this.clock.instant().isBefore(end)) {
			this.clock.advance(STEP);
			this.network.deliverDue();
			for (Node node : this.nodes) {
				node.receiveDue(this.clock.instant());
				if (node.running && !this.clock.instant().isBefore(node.nextRun)) {
					node.nextRun = this.clock.instant().plus(node.lateness);
					node.received.forEach(Runnable::run);
					node.received.clear();
					node.membership.tick();
				}
			}
		}
	}

	/**
	 * Stops a daemon without notice, as a crash does.
	 * @param number number of the daemon
	 */
	public void kill(int number) {
		this.nodes.get(number).running = false;
		this.nodes.get(number).transport.stop();
	}

	/**
	 * Replaces a daemon by a new incarnation with the same id and address.
	 * @param number number of the daemon
	 */
	public void restart(int number) {
		kill(number);
		this.nodes.set(number, node(number));
	}

	/**
	 * Suspends a daemon. Messages to it are lost until it is resumed.
	 * @param number number of the daemon
	 */
	public void pause(int number) {
		kill(number);
	}

	/**
	 * Resumes a suspended daemon with the state that it had.
	 * @param number number of the daemon
	 */
	public void resume(int number) {
		this.nodes.get(number).running = true;
		this.nodes.get(number).transport.start();
	}

	/**
	 * Lets a daemon run only now and then, as one that is short of processor time. What
	 * it receives meanwhile waits.
	 * @param number number of the daemon
	 * @param lateness time between two runs; {@link Duration#ZERO} ends it
	 */
	public void delay(int number, Duration lateness) {
		Node node = this.nodes.get(number);
		node.lateness = lateness;
		node.nextRun = this.clock.instant().plusMillis(this.random.nextLong(lateness.toMillis() + 1));
	}

	/**
	 * Lets messages to a daemon wait before it reads them, while it runs in time.
	 * @param number number of the daemon
	 * @param longest longest time that a message waits; the time of each is random
	 */
	public void delayMessages(int number, Duration longest) {
		this.nodes.get(number).messageDelay = longest;
	}

	/**
	 * Lets messages to a daemon wait in a queue before it reads them, while it runs in
	 * time.
	 * @param number number of the daemon
	 * @param wait time that each message waits
	 */
	public void queueMessages(int number, Duration wait) {
		this.nodes.get(number).queueWait = wait;
	}

	/**
	 * Returns the membership of a daemon.
	 * @param number number of the daemon
	 * @return the membership
	 */
	public Membership membership(int number) {
		return this.nodes.get(number).membership;
	}

	/**
	 * Returns the network, on which links can be cut and conditions changed.
	 * @return the network
	 */
	public InMemoryPeerNetwork network() {
		return this.network;
	}

	/**
	 * Returns the current virtual time.
	 * @return the time
	 */
	public Instant now() {
		return this.clock.instant();
	}

	/**
	 * Returns the membership events that all daemons have reported.
	 * @return a snapshot of the observations, in the order of time
	 */
	public List<Observation> observations() {
		return List.copyOf(this.observations);
	}

	/**
	 * Removes all observations made so far.
	 */
	public void clearObservations() {
		this.observations.clear();
	}

	/**
	 * Sets the listener for messages that daemons send, also for those that get lost. It
	 * replaces an earlier one.
	 * @param listener receives the messages
	 */
	public void setSendListener(Consumer<MembershipMessage> listener) {
		this.sendListener = listener;
	}

	/**
	 * Returns the status of one daemon in the view of another.
	 * @param observer number of the daemon whose view it is
	 * @param subject number of the daemon whose status is returned
	 * @return the status, {@code DEAD} if the observer does not know the subject
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
	 * @param number number of the daemon
	 * @return keys of the strikes
	 */
	public Set<StrikeKey> receivedStrikes(int number) {
		return Set.copyOf(this.strikes.getOrDefault(id(number), Set.of()));
	}

	/**
	 * Returns the id of a daemon.
	 * @param number number of the daemon
	 * @return the id
	 */
	public static DaemonId id(int number) {
		return DaemonId.of("daemon-" + number);
	}

	/**
	 * Returns the peer address of a daemon.
	 * @param number number of the daemon
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
		Node node = new Node(membership, transport);
		transport.listen(MembershipMessage.class,
				(sender, senderIncarnation, senderAddress, message) -> node.receive(
						() -> membership.received(sender, senderAddress, (MembershipMessage) message),
						this.clock.instant(), this.random));
		transport.start();
		return node;
	}

	/**
	 * State of one simulated daemon.
	 */
	private static final class Node {

		private final Membership membership;

		private final InMemoryPeerTransport transport;

		private final List<Runnable> received = new ArrayList<>();

		private boolean running = true;

		private final PriorityQueue<DelayedMessage> delayed = new PriorityQueue<>();

		private Duration lateness = Duration.ZERO;

		private Duration messageDelay = Duration.ZERO;

		private Duration queueWait = Duration.ZERO;

		private Instant nextRun = Instant.MIN;

		private Node(Membership membership, InMemoryPeerTransport transport) {
			this.membership = membership;
			this.transport = transport;
		}

		private void receiveDue(Instant now) {
			while (!this.delayed.isEmpty() && !this.delayed.peek().due().isAfter(now)) {
				this.delayed.remove().message().run();
			}
		}

		private void receive(Runnable message, Instant now, SplittableRandom random) {
			if (!this.queueWait.isZero()) {
				this.delayed.add(new DelayedMessage(now.plus(this.queueWait), message));
			}
			else if (!this.messageDelay.isZero()) {
				Duration delay = Duration.ofMillis(random.nextLong(this.messageDelay.toMillis()));
				this.delayed.add(new DelayedMessage(now.plus(delay), message));
			}
			else if (this.lateness.isZero()) {
				message.run();
			}
			else {
				this.received.add(message);
			}
		}

	}

	/**
	 * A message that waits to be read.
	 *
	 * @param due when it is read
	 * @param message reads it
	 */
	private record DelayedMessage(Instant due, Runnable message) implements Comparable<DelayedMessage> {

		@Override
		public int compareTo(DelayedMessage other) {
			return this.due.compareTo(other.due);
		}

	}

	/**
	 * Sends the messages of a membership and records its events.
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
