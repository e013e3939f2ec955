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
 * Network in memory that loses, repeats, delays and reorders messages by a seeded random
 * source. With no delay a message is delivered as it is sent; otherwise
 * {@link #deliverDue()} delivers what is due by the clock. Safe for use by any thread.
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
	 * Returns a network without daemons.
	 * @param clock the clock
	 * @param random source of randomness
	 * @param conditions how it treats messages
	 * @return the network
	 */
	public static InMemoryPeerNetwork create(InstantSource clock, RandomGenerator random,
			NetworkConditions conditions) {
		Objects.requireNonNull(clock, "clock must not be null");
		Objects.requireNonNull(random, "random must not be null");
		return new InMemoryPeerNetwork(clock, random, conditions);
	}

	/**
	 * Returns a transport of a daemon. It replaces an earlier one of the same address.
	 * @param daemon the daemon
	 * @param incarnation number of its run
	 * @param address its peer address
	 * @return the transport
	 */
	public synchronized InMemoryPeerTransport transport(DaemonId daemon, long incarnation, NetworkAddress address) {
		InMemoryPeerTransport transport = new InMemoryPeerTransport(this, daemon, incarnation, address);
		this.transports.put(address, transport);
		return transport;
	}

	/**
	 * Changes how messages sent from now on are treated.
	 * @param changed the new conditions
	 */
	public synchronized void conditions(NetworkConditions changed) {
		this.conditions = Objects.requireNonNull(changed, "changed must not be null");
	}

	/**
	 * Loses all messages on one way.
	 * @param from address of the sender
	 * @param to address of the receiver
	 */
	public synchronized void cut(NetworkAddress from, NetworkAddress to) {
		this.cutLinks.add(new Link(from, to));
	}

	/**
	 * Ends all cuts.
	 */
	public synchronized void heal() {
		this.cutLinks.clear();
	}

	/**
	 * Returns how many messages were sent, those lost included.
	 * @return the number
	 */
	public synchronized long sent() {
		return this.sent;
	}

	/**
	 * Delivers all messages that are due.
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
	 * One way between two daemons.
	 *
	 * @param from address of the sender
	 * @param to address of the receiver
	 */
	private record Link(NetworkAddress from, NetworkAddress to) {

	}

	/**
	 * A message on its way.
	 *
	 * @param due when it comes
	 * @param sequence breaks ties
	 * @param from the sender
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
