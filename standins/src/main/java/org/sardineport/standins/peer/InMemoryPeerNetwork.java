package org.sardineport.standins.peer;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.random.RandomGenerator;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.identity.DaemonId;
import org.sardineport.core.identity.NetworkAddress;
import org.sardineport.core.port.peer.PeerMessage;

/**
 * In-memory network that loses, duplicates, delays and reorders messages, reproducibly
 * for a seeded source of randomness. A message without delay is delivered on the thread
 * that sends it; {@link #deliverDue()} delivers the others once they are due.
 * Thread-safe.
 */
public final class InMemoryPeerNetwork {

	private final InstantSource clock;

	private final RandomGenerator random;

	private final Map<NetworkAddress, InMemoryPeerTransport> transports = new HashMap<>();

	private final Set<Link> cutLinks = new HashSet<>();

	private final PriorityQueue<Delivery> pending = new PriorityQueue<>();

	private NetworkConditions conditions;

	private long sent;

	private InMemoryPeerNetwork(InstantSource clock, RandomGenerator random, NetworkConditions conditions) {
		this.clock = clock;
		this.random = random;
		this.conditions = conditions;
	}

	/**
	 * Creates a network without daemons.
	 * @param clock decides which delayed messages are due
	 * @param random source of randomness
	 * @param conditions loss, duplication and delay of messages
	 * @return the network
	 */
	public static InMemoryPeerNetwork create(InstantSource clock, RandomGenerator random,
			NetworkConditions conditions) {
		Objects.requireNonNull(clock, "clock must not be null");
		Objects.requireNonNull(random, "random must not be null");
		return new InMemoryPeerNetwork(clock, random, conditions);
	}

	/**
	 * Creates the transport of a daemon. Messages to the address no longer reach an
	 * earlier transport of the same address.
	 * @param daemon id of the daemon
	 * @param incarnation incarnation of the daemon
	 * @param address peer address of the daemon
	 * @return the transport
	 */
	public synchronized InMemoryPeerTransport transport(DaemonId daemon, long incarnation, NetworkAddress address) {
		InMemoryPeerTransport transport = new InMemoryPeerTransport(this, daemon, incarnation, address);
		this.transports.put(address, transport);
		return transport;
	}

	/**
	 * Sets the conditions for messages that are sent from now on.
	 * @param changed the new conditions
	 */
	public synchronized void conditions(NetworkConditions changed) {
		this.conditions = Objects.requireNonNull(changed, "changed must not be null");
	}

	/**
	 * Drops all messages from one address to another until {@link #heal()}.
	 * @param from address of the sender
	 * @param to address of the receiver
	 */
	public synchronized void cut(NetworkAddress from, NetworkAddress to) {
		this.cutLinks.add(new Link(from, to));
	}

	/**
	 * Restores all links that were cut.
	 */
	public synchronized void heal() {
		this.cutLinks.clear();
	}

	/**
	 * Returns the number of messages sent so far.
	 * @return the number, including lost messages and without duplicates
	 */
	public synchronized long sent() {
		return this.sent;
	}

	/**
	 * Delivers all messages that are due, on the calling thread, in the order of their
	 * due times.
	 */
	public void deliverDue() {
		@Nullable Delivery next = nextDue();
		while (next != null) {
			deliver(next);
			next = nextDue();
		}
	}

	private synchronized @Nullable Delivery nextDue() {
		Delivery next = this.pending.peek();
		return (next != null && !next.due().isAfter(this.clock.instant())) ? this.pending.poll() : null;
	}

	void send(InMemoryPeerTransport from, NetworkAddress to, PeerMessage message) {
		List<Delivery> immediate = new ArrayList<>();
		synchronized (this) {
			this.sent++;
			if (this.cutLinks.contains(new Link(from.address(), to)) || occurs(this.conditions.loss())) {
				return;
			}
			int copies = (occurs(this.conditions.duplication())) ? 2 : 1;
			for (int copy = 0; copy < copies; copy++) {
				Duration delay = nextDelay();
				Delivery delivery = new Delivery(this.clock.instant().plus(delay), this.sent, from, to, message);
				if (delay.isZero()) {
					immediate.add(delivery);
				}
				else {
					this.pending.add(delivery);
				}
			}
		}
		immediate.forEach(this::deliver);
	}

	private void deliver(Delivery delivery) {
		InMemoryPeerTransport receiver;
		synchronized (this) {
			receiver = this.transports.get(delivery.to());
		}
		if (receiver != null) {
			receiver.receive(delivery.from(), delivery.message());
		}
	}

	private boolean occurs(double share) {
		return share > 0 && this.random.nextDouble() < share;
	}

	private Duration nextDelay() {
		long shortest = this.conditions.minimumDelay().toNanos();
		long longest = this.conditions.maximumDelay().toNanos();
		return Duration.ofNanos((longest > shortest) ? this.random.nextLong(shortest, longest) : shortest);
	}

	/**
	 * Directed link between two daemons.
	 *
	 * @param from address of the sender
	 * @param to address of the receiver
	 */
	private record Link(NetworkAddress from, NetworkAddress to) {

	}

	/**
	 * Message in flight.
	 *
	 * @param due time of delivery
	 * @param sequence order of messages that are due at the same time
	 * @param from transport of the sender
	 * @param to address of the receiver
	 * @param message the message
	 */
	private record Delivery(Instant due, long sequence, InMemoryPeerTransport from, NetworkAddress to,
			PeerMessage message) implements Comparable<Delivery> {

		@Override
		public int compareTo(Delivery other) {
			int byTime = this.due.compareTo(other.due);
			return (byTime != 0) ? byTime : Long.compare(this.sequence, other.sequence);
		}

	}

}
