package org.sardineport.core.configuration;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Test;
import org.sardineport.core.configuration.PeerCatchUp.Request;
import org.sardineport.core.fleet.FleetSnapshot;
import org.sardineport.core.fleet.Member;
import org.sardineport.core.fleet.MemberStatus;
import org.sardineport.core.identity.DaemonId;
import org.sardineport.core.identity.FailureDomain;
import org.sardineport.core.identity.NetworkAddress;

import static org.assertj.core.api.Assertions.assertThat;

class PeerCatchUpTests {

	private static final Duration TIMEOUT = Duration.ofMillis(500);

	private static final Instant START = Instant.EPOCH;

	private final PeerCatchUp catchUp = PeerCatchUp.create(TIMEOUT, TestProfiles.MemoryCodec.INSTANCE);

	private final FleetSnapshot fleet = fleet(7, 7, 3);

	/**
	 * Returns this daemon, in domain "near", and peers alternately in "far" and "near".
	 */
	private static FleetSnapshot fleet(long... versions) {
		List<Member> members = new ArrayList<>(List.of(member("self", "near", 1, 3)));
		for (int i = 0; i < versions.length; i++) {
			members.add(member("peer-" + i, (i % 2 == 0) ? "far" : "near", 10 + i, versions[i]));
		}
		return new FleetSnapshot(DaemonId.of("self"), members, List.of());
	}

	private static Member member(String name, String domain, int port, long version) {
		NetworkAddress address = NetworkAddress.of("127.0.0.1", port);
		return new Member(DaemonId.of(name), 1, MemberStatus.ALIVE, FailureDomain.of(domain), address, address, version,
				0);
	}

	private static Integer port(Optional<Request> question) {
		return question.map((request) -> request.peer().port()).orElse(null);
	}

	@Test
	void prefersNewerPeerOfSameFailureDomain() {
		assertThat(port(this.catchUp.next(START, 3, this.fleet))).isEqualTo(11);
	}

	@Test
	void requestsFromAnotherPeerAfterTimeout() {
		this.catchUp.next(START, 3, this.fleet);
		assertThat(this.catchUp.next(START.plus(TIMEOUT).minusNanos(1), 3, this.fleet)).isEmpty();
		assertThat(port(this.catchUp.next(START.plus(TIMEOUT), 3, this.fleet))).isEqualTo(10);
		assertThat(port(this.catchUp.next(START.plus(TIMEOUT.multipliedBy(2)), 3, this.fleet))).isEqualTo(11);
	}

	@Test
	void requestsNothingWhenNoPeerIsNewer() {
		assertThat(this.catchUp.next(START, 7, this.fleet)).isEmpty();
		this.catchUp.updateVersion(DaemonId.of("peer-2"), 8);
		assertThat(port(this.catchUp.next(START, 7, this.fleet))).isEqualTo(12);
	}

	@Test
	void fetchesAllPagesDespiteLossAndReordering() {
		ConfigurationState state = PublicationRules.of(TestProfiles.PARSER)
			.evaluate(ConfigurationState.EMPTY, 7, TestProfiles.publish("t", -1, TestProfiles.document("a", "1")))
			.next();
		List<ImagePage> pages = TestProfiles.pages("id", state, 7, -1, 1);
		DaemonId peer = DaemonId.of("peer-1");
		NetworkAddress address = NetworkAddress.of("127.0.0.1", 11);
		assertThat(pages).hasSize(4);
		assertThat(this.catchUp.received(peer, pages.get(2))).isEmpty();
		assertThat(this.catchUp.received(peer, pages.get(0))).isEmpty();
		assertThat(this.catchUp.nextPage(START, peer, address, pages.get(0), 3).fetch())
			.isEqualTo(new ConfigurationFetch(3, 1));
		assertThat(this.catchUp.received(peer, pages.get(1))).isEmpty();
		assertThat(this.catchUp.nextPage(START, peer, address, pages.get(1), 3).fetch())
			.isEqualTo(new ConfigurationFetch(3, 3));
		assertThat(this.catchUp.received(peer, pages.get(3))).get()
			.isEqualTo(state.image(7, ConfigurationSnapshot.NO_VERSION));
	}

	@Test
	void backsOffAfterRejectedImageThenRequestsCompleteImage() {
		this.catchUp.backOff(START.plusSeconds(5));
		assertThat(this.catchUp.next(START.plusSeconds(4), 3, this.fleet)).isEmpty();
		assertThat(this.catchUp.next(START.plusSeconds(5), 3, this.fleet)).get()
			.extracting((question) -> question.fetch().newerThan())
			.as("requests the complete image")
			.isEqualTo(ConfigurationSnapshot.NO_VERSION);
		this.catchUp.imageAdopted();
		assertThat(this.catchUp.next(START.plusSeconds(9), 3, this.fleet)).get()
			.extracting((question) -> question.fetch().newerThan())
			.isEqualTo(3L);
	}

	@Test
	void requestsConfirmationsOncePerTimeout() {
		assertThat(this.catchUp.confirmations(START, 3, this.fleet)).hasSize(3);
		assertThat(this.catchUp.confirmations(START, 3, this.fleet)).isEmpty();
		assertThat(this.catchUp.confirmations(START.plus(TIMEOUT), 3, this.fleet)).hasSize(3);
	}

}
