package org.sardineport.standins.stream;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;

import org.sardineport.core.fleet.FleetSnapshot;
import org.sardineport.core.fleet.Member;
import org.sardineport.core.fleet.MemberStatus;
import org.sardineport.core.identity.DaemonId;
import org.sardineport.core.identity.FailureDomain;
import org.sardineport.core.identity.NetworkAddress;
import org.sardineport.core.stream.LookupOutcome;
import org.sardineport.core.stream.OriginEffects;
import org.sardineport.core.stream.OriginRegistry;
import org.sardineport.core.stream.StreamKey;
import org.sardineport.core.stream.StreamOriginMessage;
import org.sardineport.core.stream.StreamRun;
import org.sardineport.standins.fleet.VirtualClock;
import org.sardineport.standins.peer.InMemoryPeerNetwork;
import org.sardineport.standins.peer.InMemoryPeerTransport;
import org.sardineport.standins.peer.NetworkConditions;

/**
 * Registries of stream origins of several daemons in virtual time. Daemons know of deaths
 * only once {@link #detectDeaths} is called, as after the membership's detection time.
 */
final class OriginFleet {

	private static final Instant START = Instant.parse("2026-12-04T08:00:00Z");

	private static final int TICK_MILLIS = 20;

	private final VirtualClock clock = VirtualClock.startingAt(START);

	private final SplittableRandom random;

	private final InMemoryPeerNetwork network;

	private final int domains;

	private final List<InMemoryPeerTransport> transports = new ArrayList<>();

	private final List<OriginRegistry> registries = new ArrayList<>();

	private final Set<Integer> dead = new HashSet<>();

	private List<Member> members = new ArrayList<>();

	private long sent;

	private OriginFleet(int domains, NetworkConditions conditions, long seed) {
		this.domains = domains;
		this.random = new SplittableRandom(seed);
		this.network = InMemoryPeerNetwork.create(this.clock, this.random.split(), conditions);
	}

	static OriginFleet create(int daemons, int domains, NetworkConditions conditions, long seed) {
		OriginFleet fleet = new OriginFleet(domains, conditions, seed);
		for (int i = 0; i < daemons; i++) {
			fleet.members.add(fleet.member(i, MemberStatus.ALIVE));
			fleet.transports.add(null);
			fleet.registries.add(null);
			fleet.start(i);
		}
		return fleet;
	}

	private Member member(int number, MemberStatus status) {
		NetworkAddress address = NetworkAddress.of("10.0.%d.%d".formatted(number / 250, 1 + number % 250), 7000);
		return new Member(DaemonId.of("daemon-" + number), 1, status,
				FailureDomain.of("east.a" + number % this.domains), address, address, 0, 0);
	}

	private void start(int number) {
		Member self = member(number, MemberStatus.ALIVE);
		InMemoryPeerTransport transport = this.network.transport(self.id(), this.clock.millis(), self.peerAddress());
		OriginRegistry registry = OriginRegistry.create(() -> new FleetSnapshot(self.id(), this.members, List.of()),
				this.clock, this.random.split(), new Sender(transport));
		transport.listen(StreamOriginMessage.class, (sender, incarnation, address, message) -> registry.received(sender,
				address, (StreamOriginMessage) message));
		transport.start();
		this.transports.set(number, transport);
		this.registries.set(number, registry);
	}

	void run(Duration duration) {
		for (long i = 1; i <= duration.toMillis(); i++) {
			this.clock.advance(Duration.ofMillis(1));
			this.network.deliverDue();
			if (i % TICK_MILLIS == 0) {
				tick();
			}
		}
	}

	private void tick() {
		for (int i = 0; i < this.registries.size(); i++) {
			if (isAlive(i)) {
				this.registries.get(i).tick();
			}
		}
	}

	void kill(int number) {
		this.transports.get(number).stop();
		this.dead.add(number);
	}

	void restart(int number) {
		start(number);
		this.dead.remove(number);
		List<Member> changed = new ArrayList<>(this.members);
		changed.set(number, member(number, MemberStatus.ALIVE));
		this.members = changed;
	}

	void detectDeaths() {
		List<Member> changed = new ArrayList<>(this.members);
		this.dead.forEach((number) -> changed.set(number, member(number, MemberStatus.DEAD)));
		this.members = changed;
	}

	boolean isAlive(int number) {
		return !this.dead.contains(number);
	}

	OriginRegistry registry(int number) {
		return this.registries.get(number);
	}

	int size() {
		return this.members.size();
	}

	long sent() {
		return this.sent;
	}

	/**
	 * Sends a registry's messages and counts them.
	 */
	private final class Sender implements OriginEffects {

		private final InMemoryPeerTransport transport;

		private Sender(InMemoryPeerTransport transport) {
			this.transport = transport;
		}

		@Override
		public void send(NetworkAddress to, StreamOriginMessage message) {
			OriginFleet.this.sent++;
			this.transport.send(to, message);
		}

		@Override
		public void lookedUp(StreamKey key, LookupOutcome outcome, long millis) {
		}

		@Override
		public void unconfirmed(StreamRun run, int replies) {
		}

	}

}
