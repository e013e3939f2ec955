package org.sardineport.core.membership;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;
import org.sardineport.core.backend.BackendProcess;
import org.sardineport.core.fleet.Member;
import org.sardineport.core.fleet.MemberStatus;
import org.sardineport.core.identity.BackendServerId;
import org.sardineport.core.identity.DaemonId;
import org.sardineport.core.identity.FailureDomain;
import org.sardineport.core.identity.NetworkAddress;
import org.sardineport.core.quarantine.StrikeKey;
import org.sardineport.core.quarantine.Suspect;
import org.sardineport.core.request.Fingerprint;

import static org.assertj.core.api.Assertions.assertThat;

class GossipReceiverTests {

	private static final Instant NOW = Instant.parse("2026-12-03T08:00:00Z");

	private static final NetworkAddress ADDRESS = NetworkAddress.of("10.0.0.1", 7000);

	private static final DaemonId OTHER = DaemonId.of("other");

	private final RecordingOutput output = new RecordingOutput();

	private final SelfState self = new SelfState(member("self", 5, MemberStatus.ALIVE, "east.a"));

	private final MemberTable table = new MemberTable(DaemonId.of("self"));

	private final BackendUpdates backendUpdates = new BackendUpdates();

	private final UpdateComposer composer = new UpdateComposer(this.table, this.backendUpdates);

	private final Outbox outbox = new Outbox(this.self, this.table, this.composer,
			new ProbeSchedule(this.table, new SplittableRandom(1)), InstantSource.fixed(NOW), this.output);

	private final GossipReceiver receiver = new GossipReceiver(this.self, this.table, this.backendUpdates,
			this.composer, this.outbox, Duration.ofMillis(400), this.output);

	private static Member member(String name, long incarnation, MemberStatus status, String failureDomain) {
		return new Member(DaemonId.of(name), incarnation, status, FailureDomain.of(failureDomain), ADDRESS, ADDRESS, 0,
				0);
	}

	private static Member other(MemberStatus status) {
		return member("other", 5, status, "east.b");
	}

	private void apply(Member update) {
		this.receiver.apply(OTHER, GossipUpdates.of(update), true, NOW);
	}

	private int urgentMessages() {
		this.output.sent.clear();
		this.outbox.sendUrgent();
		return this.output.sent.size();
	}

	@Test
	void reportsAndRebroadcastsDaemonOfTheRegion() {
		apply(other(MemberStatus.ALIVE));
		assertThat(this.output.events).containsExactly(MembershipEvent.JOINED);
		assertThat(this.outbox.updatesFor(null).members()).contains(other(MemberStatus.ALIVE));
	}

	@Test
	void doesNotRebroadcastIfToldSo() {
		this.receiver.apply(OTHER, GossipUpdates.of(other(MemberStatus.ALIVE)), false, NOW);
		assertThat(this.output.events).containsExactly(MembershipEvent.JOINED);
		assertThat(this.outbox.updatesFor(null).members()).containsExactly(this.self.member());
	}

	@Test
	void ignoresDaemonOfAnotherRegion() {
		apply(member("other", 5, MemberStatus.ALIVE, "west.a"));
		assertThat(this.output.events).isEmpty();
		assertThat(this.table.peers()).isEmpty();
	}

	@Test
	void forwardsADeathToThreeDaemonsAndARefutationToEight() {
		for (int i = 0; i < 10; i++) {
			apply(member("peer-" + i, 5, MemberStatus.ALIVE, "east.b"));
		}
		assertThat(urgentMessages()).isZero();
		apply(member("peer-0", 5, MemberStatus.DEAD, "east.b"));
		assertThat(urgentMessages()).isEqualTo(3);
		apply(member("self", 5, MemberStatus.SUSPECT, "east.a"));
		assertThat(this.output.events).endsWith(MembershipEvent.DIED, MembershipEvent.REFUTED);
		assertThat(urgentMessages()).isEqualTo(8);
	}

	@Test
	void reportsUpdatesAboutBackendServersOnce() {
		BackendServerId server = BackendServerId.of("worker");
		StrikeUpdate strike = new StrikeUpdate(
				new StrikeKey(Suspect.request(Fingerprint.of(1, 2)), new BackendProcess(server, NOW)),
				Duration.ofSeconds(60));
		LeavingUpdate leaving = LeavingUpdate.ofAnyProcess(server, Duration.ZERO);
		GossipUpdates updates = new GossipUpdates(List.of(), List.of(strike), List.of(leaving));
		this.receiver.apply(OTHER, updates, true, NOW);
		this.receiver.apply(OTHER, updates, true, NOW);
		assertThat(this.output.strikes).containsExactly(strike);
		assertThat(this.output.leaving).containsExactly(leaving);
	}

	@Test
	void messageClearsASuspicionThatWasNotShared() {
		apply(other(MemberStatus.ALIVE));
		this.table.peer(OTHER).suspectLocally(false, NOW);
		this.receiver.handleLiveSender(OTHER, NOW);
		assertThat(this.output.events).endsWith(MembershipEvent.CLEARED);
		assertThat(this.table.peer(OTHER).status()).isEqualTo(MemberStatus.ALIVE);
		assertThat(this.output.sent).isEmpty();
	}

	@Test
	void notifiesSenderOfItsSharedSuspicionOncePerInterval() {
		apply(other(MemberStatus.SUSPECT));
		this.receiver.handleLiveSender(OTHER, NOW);
		this.receiver.handleLiveSender(OTHER, NOW.plusMillis(399));
		assertThat(this.output.sent).hasSize(1);
		assertThat(this.output.sent.get(0).updates().members()).contains(other(MemberStatus.SUSPECT));
		this.receiver.handleLiveSender(OTHER, NOW.plusMillis(400));
		assertThat(this.output.sent).hasSize(2);
	}

	@Test
	void doesNotNotifyALeavingOrUnknownSender() {
		apply(other(MemberStatus.LEAVING));
		this.receiver.handleLiveSender(OTHER, NOW);
		this.receiver.handleLiveSender(DaemonId.of("unknown"), NOW);
		assertThat(this.output.sent).isEmpty();
	}

	/**
	 * Records what the receiver sends and reports.
	 */
	private static final class RecordingOutput implements MembershipOutput {

		private final List<MembershipMessage> sent = new ArrayList<>();

		private final List<MembershipEvent> events = new ArrayList<>();

		private final List<StrikeUpdate> strikes = new ArrayList<>();

		private final List<LeavingUpdate> leaving = new ArrayList<>();

		@Override
		public void send(NetworkAddress to, MembershipMessage message) {
			this.sent.add(message);
		}

		@Override
		public void onEvent(MembershipEvent event, Member member) {
			this.events.add(event);
		}

		@Override
		public void onStrike(StrikeUpdate strike) {
			this.strikes.add(strike);
		}

		@Override
		public void onBackendLeaving(LeavingUpdate update) {
			this.leaving.add(update);
		}

	}

}
