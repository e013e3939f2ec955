package org.sardineport.wire.transport;

import java.time.Instant;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.function.UnaryOperator;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.sardineport.core.identity.DaemonId;
import org.sardineport.core.identity.NetworkAddress;
import org.sardineport.core.membership.GossipUpdates;
import org.sardineport.core.membership.ProbeRequest;
import org.sardineport.core.port.peer.PeerMessage;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

class FrameCodecTests {

	private static final Instant NOW = Instant.parse("2026-12-03T08:00:00Z");

	private static final String KEY = "k".repeat(PeerIdentity.MINIMUM_KEY_LENGTH);

	private static final String NEXT_KEY = "n".repeat(PeerIdentity.MINIMUM_KEY_LENGTH);

	private static final String FOREIGN_KEY = "f".repeat(PeerIdentity.MINIMUM_KEY_LENGTH);

	private static final NetworkAddress SENDER = NetworkAddress.of("127.0.0.1", 7001);

	private static final NetworkAddress RECEIVER = NetworkAddress.of("127.0.0.1", 7002);

	private static final PeerMessage MESSAGE = new ProbeRequest(9, GossipUpdates.NONE);

	private final FrameCodec receiver = codec("fleet", RECEIVER, NOW, KEY);

	private static FrameCodec codec(String fleet, NetworkAddress address, Instant now, String... keys) {
		PeerIdentity identity = new PeerIdentity(fleet, DaemonId.of("daemon-" + address.port()), 5, address,
				List.of(keys));
		return FrameCodec.create(identity, CodecRegistry.of(List.of(MembershipCodec.create())), () -> now);
	}

	@Test
	void carriesAMessageWithItsSender() throws FrameDroppedException {
		byte[] frame = codec("fleet", SENDER, NOW, KEY).encode(RECEIVER, MESSAGE);
		assertThat(this.receiver.decode(frame))
			.isEqualTo(new ReceivedMessage(DaemonId.of("daemon-7001"), 5, SENDER, MESSAGE));
	}

	@Test
	void acceptsBothKeysDuringRotation() throws FrameDroppedException {
		FrameCodec oldFirst = codec("fleet", RECEIVER, NOW, KEY, NEXT_KEY);
		assertThat(oldFirst.decode(codec("fleet", SENDER, NOW, KEY).encode(RECEIVER, MESSAGE))).isNotNull();
		FrameCodec newSigner = codec("fleet", NetworkAddress.of("127.0.0.1", 7003), NOW, NEXT_KEY, KEY);
		assertThat(oldFirst.decode(newSigner.encode(RECEIVER, MESSAGE))).isNotNull();
	}

	@ParameterizedTest
	@EnumSource(Fault.class)
	void dropsWithReason(Fault fault) throws FrameDroppedException {
		byte[] frame = fault.damage.apply(fault.sender.encode(fault.to, MESSAGE));
		assertThatExceptionOfType(FrameDroppedException.class).isThrownBy(() -> this.receiver.decode(frame))
			.satisfies((ex) -> assertThat(ex.reason()).isEqualTo(fault.reason));
	}

	@Test
	void dropsAReplayedFrame() throws FrameDroppedException {
		byte[] frame = codec("fleet", SENDER, NOW, KEY).encode(RECEIVER, MESSAGE);
		this.receiver.decode(frame);
		assertThatExceptionOfType(FrameDroppedException.class).isThrownBy(() -> this.receiver.decode(frame))
			.satisfies((ex) -> assertThat(ex.reason()).isEqualTo(DropReason.REPLAYED));
	}

	@Test
	void dropsAuthenticFramesOfRandomBytes() {
		FrameAuthenticator authenticator = FrameAuthenticator.create(List.of(KEY));
		Random random = new Random(42);
		for (int i = 0; i < 2_000; i++) {
			byte[] payload = new byte[1 + random.nextInt(300)];
			random.nextBytes(payload);
			byte[] frame = new byte[1 + FrameAuthenticator.TAG_BYTES + payload.length];
			frame[0] = 1;
			System.arraycopy(authenticator.sign(RECEIVER, payload), 0, frame, 1, FrameAuthenticator.TAG_BYTES);
			System.arraycopy(payload, 0, frame, 1 + FrameAuthenticator.TAG_BYTES, payload.length);
			assertThatExceptionOfType(FrameDroppedException.class).isThrownBy(() -> this.receiver.decode(frame));
		}
	}

	/**
	 * Frames that the receiver must drop, with the expected reason.
	 */
	enum Fault {

		UNKNOWN_KEY(codec("fleet", SENDER, NOW, FOREIGN_KEY), RECEIVER, UnaryOperator.identity(),
				DropReason.NOT_AUTHENTIC),

		OTHER_FLEET(codec("other", SENDER, NOW, KEY), RECEIVER, UnaryOperator.identity(), DropReason.OTHER_FLEET),

		OTHER_RECEIVER(codec("fleet", SENDER, NOW, KEY), SENDER, UnaryOperator.identity(), DropReason.NOT_AUTHENTIC),

		TOO_OLD(codec("fleet", SENDER, NOW.minus(ReplayGuard.MAX_AGE).minusMillis(1), KEY), RECEIVER,
				UnaryOperator.identity(), DropReason.STALE),

		ONE_BIT_CHANGED(codec("fleet", SENDER, NOW, KEY), RECEIVER, (frame) -> {
			frame[frame.length - 1] ^= 1;
			return frame;
		}, DropReason.NOT_AUTHENTIC),

		TRUNCATED(codec("fleet", SENDER, NOW, KEY), RECEIVER, (frame) -> Arrays.copyOf(frame, frame.length - 3),
				DropReason.NOT_AUTHENTIC),

		HEADER_ONLY(codec("fleet", SENDER, NOW, KEY), RECEIVER, (frame) -> Arrays.copyOf(frame, 10),
				DropReason.NOT_A_FRAME),

		EMPTY(codec("fleet", SENDER, NOW, KEY), RECEIVER, (frame) -> new byte[0], DropReason.NOT_A_FRAME),

		OTHER_VERSION(codec("fleet", SENDER, NOW, KEY), RECEIVER, (frame) -> {
			frame[0] = 9;
			return frame;
		}, DropReason.NOT_A_FRAME),

		TOO_LARGE(codec("fleet", SENDER, NOW, KEY), RECEIVER,
				(frame) -> Arrays.copyOf(frame, FrameCodec.MAX_FRAME_BYTES + 1), DropReason.TOO_LARGE);

		private final FrameCodec sender;

		private final NetworkAddress to;

		private final UnaryOperator<byte[]> damage;

		private final DropReason reason;

		Fault(FrameCodec sender, NetworkAddress to, UnaryOperator<byte[]> damage, DropReason reason) {
			this.sender = sender;
			this.to = to;
			this.damage = damage;
			this.reason = reason;
		}

	}

}
