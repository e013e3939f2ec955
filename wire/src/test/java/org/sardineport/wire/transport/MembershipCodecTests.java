package org.sardineport.wire.transport;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.stream.Stream;

import com.google.protobuf.InvalidProtocolBufferException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.sardineport.core.backend.BackendProcess;
import org.sardineport.core.fleet.Member;
import org.sardineport.core.fleet.MemberStatus;
import org.sardineport.core.identity.BackendServerId;
import org.sardineport.core.identity.DaemonId;
import org.sardineport.core.identity.FailureDomain;
import org.sardineport.core.identity.NetworkAddress;
import org.sardineport.core.membership.GossipUpdates;
import org.sardineport.core.membership.IndirectProbeRequest;
import org.sardineport.core.membership.JoinRequest;
import org.sardineport.core.membership.JoinResponse;
import org.sardineport.core.membership.LeavingUpdate;
import org.sardineport.core.membership.MembershipMessage;
import org.sardineport.core.membership.ProbeRequest;
import org.sardineport.core.membership.ProbeResponse;
import org.sardineport.core.membership.StrikeUpdate;
import org.sardineport.core.quarantine.StrikeKey;
import org.sardineport.core.quarantine.Suspect;
import org.sardineport.core.request.Fingerprint;
import org.sardineport.wire.message.Envelope;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

class MembershipCodecTests {

	private static final StrikeKey STRIKE = new StrikeKey(Suspect.request(Fingerprint.of(-1, 2)),
			new BackendProcess(BackendServerId.of("w1"), Instant.ofEpochMilli(1_764_720_000_123L)));

	private static final StrikeKey PART_STRIKE = new StrikeKey(Suspect.promptPart(Fingerprint.of(-1, 2)),
			STRIKE.process());

	private static final NetworkAddress PEER = NetworkAddress.of("10.0.0.1", 7000);

	private final MembershipCodec codec = MembershipCodec.create();

	private static Member member(MemberStatus status) {
		return new Member(DaemonId.of("a"), Long.MAX_VALUE, status, FailureDomain.of("bole"), PEER,
				NetworkAddress.of("fe80:0:0:0:0:0:0:1", 8000), -1, 100);
	}

	static Stream<MembershipMessage> messages() {
		return messages(
				List.of(LeavingUpdate.ofAnyProcess(BackendServerId.of("w2"), Duration.ofMillis(250)), new LeavingUpdate(
						new BackendProcess(BackendServerId.of("w3"), Instant.ofEpochMilli(77)), Duration.ZERO)));
	}

	static Stream<MembershipMessage> messages(List<LeavingUpdate> leaving) {
		GossipUpdates updates = new GossipUpdates(List.of(member(MemberStatus.ALIVE), member(MemberStatus.DEAD)), List
			.of(new StrikeUpdate(STRIKE, Duration.ofSeconds(9)), new StrikeUpdate(PART_STRIKE, Duration.ofSeconds(8))),
				leaving);
		return messages(updates);
	}

	private static Stream<MembershipMessage> messages(GossipUpdates updates) {
		return Stream.of(new ProbeRequest(-1, updates), new ProbeResponse(7, updates),
				new IndirectProbeRequest(1, DaemonId.of("b"), PEER, updates), new JoinRequest(true, updates),
				new JoinRequest(false, updates), new JoinResponse(updates));
	}

	@ParameterizedTest
	@MethodSource("messages")
	void roundTripsEachMessage(MembershipMessage message) throws Exception {
		assertThat(roundTrip(message)).isEqualTo(message);
	}

	@ParameterizedTest
	@EnumSource(MemberStatus.class)
	void roundTripsEachStatus(MemberStatus status) throws Exception {
		MembershipMessage message = new JoinRequest(true, GossipUpdates.of(member(status)));
		assertThat(roundTrip(message)).isEqualTo(message);
	}

	@Test
	void omitsFieldsEqualToTheEnvelopeSender() throws Exception {
		Member sender = new Member(DaemonId.of("a"), 7, MemberStatus.ALIVE, FailureDomain.of("bole"), PEER,
				NetworkAddress.of(PEER.ip(), 8000), 3, 4);
		MembershipMessage message = new ProbeRequest(1, GossipUpdates.of(sender, member(MemberStatus.SUSPECT)));
		Envelope.Builder envelope = Envelope.newBuilder()
			.setSender("a")
			.setSenderIp(PEER.ip())
			.setSenderPort(PEER.port());
		this.codec.encode(message, envelope);
		assertThat(envelope.getMembership().getUpdates(0).getDaemon()).isEmpty();
		assertThat(envelope.getMembership().getUpdates(0).getPeerIp()).isEmpty();
		assertThat(envelope.getMembership().getUpdates(0).getCallerIp()).isEmpty();
		assertThat(this.codec.decode(envelope.build())).isEqualTo(message);
	}

	@Test
	void refusesAMessageWithoutABody() {
		Envelope envelope = Envelope.newBuilder()
			.setMembership(org.sardineport.wire.message.MembershipMessage.getDefaultInstance())
			.build();
		assertThatExceptionOfType(MalformedMessageException.class).isThrownBy(() -> this.codec.decode(envelope));
	}

	@ParameterizedTest
	@CsvSource({ "0, 0", "750, 750", "2000, 2000", "2001, 2000", "3600000, 2000" })
	void latenessIsBounded(int sent, int received) throws Exception {
		Member late = member(MemberStatus.ALIVE).withLateness(Duration.ofMillis(sent));
		MembershipMessage decoded = roundTrip(new ProbeRequest(1, GossipUpdates.of(late)));
		assertThat(decoded.updates().members().get(0).lateness()).isEqualTo(Duration.ofMillis(received));
	}

	@Test
	void keepsTheProcessorTime() throws Exception {
		Member large = member(MemberStatus.ALIVE).withProcessorPercent(150);
		MembershipMessage decoded = roundTrip(new ProbeRequest(1, GossipUpdates.of(large)));
		assertThat(decoded.updates().members().get(0).processorPercent()).isEqualTo(150);
	}

	private MembershipMessage roundTrip(MembershipMessage message)
			throws InvalidProtocolBufferException, MalformedMessageException {
		Envelope.Builder envelope = Envelope.newBuilder();
		this.codec.encode(message, envelope);
		return this.codec.decode(Envelope.parseFrom(envelope.build().toByteArray()));
	}

}
