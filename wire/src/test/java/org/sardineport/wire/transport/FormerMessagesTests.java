package org.sardineport.wire.transport;

import java.time.Duration;
import java.time.Instant;
import java.util.Arrays;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.sardineport.core.identity.BackendServerId;
import org.sardineport.core.identity.DaemonId;
import org.sardineport.core.identity.NetworkAddress;
import org.sardineport.core.membership.GossipUpdates;
import org.sardineport.core.membership.LeavingUpdate;
import org.sardineport.core.membership.MembershipMessage;
import org.sardineport.core.membership.ProbeRequest;
import org.sardineport.wire.Samples;
import org.sardineport.wire.message.Envelope;
import org.sardineport.wire.message.MembershipMessage.BodyCase;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * Decodes messages that daemons of former builds wrote, kept as resources under the
 * commit of their build. Guards against a change after which daemons of both builds
 * cannot run side by side.
 */
class FormerMessagesTests {

	private static final String KEY = "k".repeat(PeerIdentity.MINIMUM_KEY_LENGTH);

	private static final NetworkAddress SENDER = NetworkAddress.of("127.0.0.1", 7001);

	private static final NetworkAddress RECEIVER = NetworkAddress.of("127.0.0.1", 7002);

	private static final ReceivedMessage RECEIVED = new ReceivedMessage(DaemonId.of("daemon-7001"), 5, SENDER,
			new ProbeRequest(9, GossipUpdates.NONE));

	private static final int BODY = Envelope.MEMBERSHIP_FIELD_NUMBER;

	private static final int UPDATES = org.sardineport.wire.message.MembershipMessage.UPDATES_FIELD_NUMBER;

	private static final int STRIKES = org.sardineport.wire.message.MembershipMessage.STRIKES_FIELD_NUMBER;

	private static final int LEAVING = org.sardineport.wire.message.MembershipMessage.LEAVING_BACKENDS_FIELD_NUMBER;

	private final MembershipCodec codec = MembershipCodec.create();

	// Builds up to a4c0e76 told only the names of leaving backend servers.
	private static List<MembershipMessage> expected() {
		return MembershipCodecTests
			.messages(List.of(LeavingUpdate.ofAnyProcess(BackendServerId.of("w2"), Duration.ofMillis(250))))
			.toList();
	}

	private static FrameCodec receiver() {
		PeerIdentity identity = new PeerIdentity("fleet", DaemonId.of("daemon-7002"), 5, RECEIVER, List.of(KEY));
		return FrameCodec.create(identity, CodecRegistry.of(List.of(MembershipCodec.create())),
				() -> Instant.parse("2026-12-03T08:00:00Z"));
	}

	private static byte[] frame(byte[] payload) {
		byte[] frame = new byte[1 + FrameAuthenticator.TAG_BYTES + payload.length];
		frame[0] = 1;
		byte[] tag = FrameAuthenticator.create(List.of(KEY)).sign(RECEIVER, payload);
		System.arraycopy(tag, 0, frame, 1, tag.length);
		System.arraycopy(payload, 0, frame, 1 + tag.length, payload.length);
		return frame;
	}

	private static byte[] payload(byte[] frame) {
		return Arrays.copyOfRange(frame, 1 + FrameAuthenticator.TAG_BYTES, frame.length);
	}

	private void assertUnderstood(String resource, List<MembershipMessage> expected) throws Exception {
		List<byte[]> samples = Samples.read(resource);
		assertThat(samples).hasSameSizeAs(expected);
		for (int i = 0; i < samples.size(); i++) {
			Envelope.Builder written = Envelope.parseFrom(samples.get(i)).toBuilder().clearBody();
			this.codec.encode(expected.get(i), written);
			assertThat(decode(samples.get(i))).isEqualTo(expected.get(i));
			assertThat(written.build().toByteArray()).isEqualTo(samples.get(i));
		}
	}

	private MembershipMessage decode(byte[] envelope) throws Exception {
		return this.codec.decode(Envelope.parseFrom(envelope));
	}

	@Test
	void membershipMessagesOfA4c0e76AreUnderstood() throws Exception {
		assertUnderstood("membership-a4c0e76.hex", expected());
	}

	@Test
	void membershipMessagesOf85a9138AreUnderstood() throws Exception {
		assertUnderstood("membership-85a9138.hex", MembershipCodecTests.messages().toList());
	}

	@Test
	void eachKindOfMembershipMessageHasASample() throws Exception {
		Set<BodyCase> kinds = EnumSet.of(BodyCase.BODY_NOT_SET);
		for (byte[] sample : Samples.read("membership-a4c0e76.hex")) {
			kinds.add(Envelope.parseFrom(sample).getMembership().getBodyCase());
		}
		assertThat(kinds).containsExactlyInAnyOrder(BodyCase.values());
	}

	@Test
	void unknownFieldsAreIgnored() throws Exception {
		for (byte[] sample : Samples.read("membership-85a9138.hex")) {
			assertThat(decode(Samples.withUnknownField(sample))).isEqualTo(decode(sample));
		}
	}

	@Test
	void unknownFieldsWithinAreIgnored() throws Exception {
		for (byte[] sample : Samples.read("membership-85a9138.hex")) {
			MembershipMessage expected = decode(sample);
			int kind = Envelope.parseFrom(sample).getMembership().getBodyCase().getNumber();
			assertThat(decode(Samples.withUnknownField(sample, BODY))).isEqualTo(expected);
			for (int field : List.of(kind, UPDATES, STRIKES, LEAVING)) {
				assertThat(decode(Samples.withUnknownField(sample, BODY, field))).isEqualTo(expected);
			}
		}
	}

	// A probe that is dropped because of one unknown member makes its sender suspected.
	@Test
	void memberInAnUnknownStateIsLeftOutAlone() throws Exception {
		for (byte[] sample : Samples.read("membership-85a9138.hex")) {
			Envelope.Builder envelope = Envelope.parseFrom(sample).toBuilder();
			org.sardineport.wire.message.MembershipMessage.Builder body = envelope.getMembership().toBuilder();
			body.addUpdates(0, body.getUpdates(0).toBuilder().setStateValue(99));
			envelope.setMembership(body);
			assertThat(decode(envelope.build().toByteArray())).isEqualTo(decode(sample));
		}
	}

	@Test
	void frameOfA4c0e76IsAccepted() throws Exception {
		byte[] frame = Samples.read("frame-a4c0e76.hex").get(0);
		assertThat(receiver().decode(frame)).isEqualTo(RECEIVED);
	}

	@Test
	void unknownFieldOfTheEnvelopeIsIgnored() throws Exception {
		byte[] payload = payload(Samples.read("frame-a4c0e76.hex").get(0));
		assertThat(receiver().decode(frame(Samples.withUnknownField(payload)))).isEqualTo(RECEIVED);
	}

	// A daemon that also sends a kind of a later build must stay a member.
	@Test
	void unknownKindOfMessageIsDroppedAlone() throws Exception {
		FrameCodec receiver = receiver();
		byte[] known = Samples.read("frame-a4c0e76.hex").get(0);
		Envelope later = Envelope.parseFrom(payload(known)).toBuilder().clearBody().setSequence(77).build();
		byte[] unknown = frame(Samples.withUnknownField(later.toByteArray()));
		assertThatExceptionOfType(FrameDroppedException.class).isThrownBy(() -> receiver.decode(unknown))
			.satisfies((ex) -> assertThat(ex.reason()).isEqualTo(DropReason.MALFORMED));
		assertThat(receiver.decode(known)).isEqualTo(RECEIVED);
	}

}
