package org.sardineport.wire.transport;

import java.time.Instant;
import java.time.InstantSource;
import java.util.Arrays;
import java.util.Optional;

import com.google.protobuf.InvalidProtocolBufferException;
import org.sardineport.core.identity.DaemonId;
import org.sardineport.core.identity.NetworkAddress;
import org.sardineport.core.port.peer.PeerMessage;
import org.sardineport.wire.message.Envelope;

/**
 * Encodes and decodes frames. A frame consists of a version byte, the authentication tag,
 * and the encoded envelope. Not thread-safe.
 */
final class FrameCodec {

	/** Maximum size of a frame in bytes, so that it fits into one UDP datagram. */
	static final int MAX_FRAME_BYTES = 60 * 1024;

	private static final byte VERSION = 1;

	private static final int HEADER_BYTES = 1 + FrameAuthenticator.TAG_BYTES;

	private final PeerIdentity identity;

	private final CodecRegistry codecs;

	private final FrameAuthenticator authenticator;

	private final ReplayGuard replayGuard = new ReplayGuard();

	private final InstantSource clock;

	private long nextSequence;

	private FrameCodec(PeerIdentity identity, CodecRegistry codecs, InstantSource clock) {
		this.identity = identity;
		this.codecs = codecs;
		this.authenticator = FrameAuthenticator.create(identity.keys());
		this.clock = clock;
	}

	static FrameCodec create(PeerIdentity identity, CodecRegistry codecs, InstantSource clock) {
		return new FrameCodec(identity, codecs, clock);
	}

	/**
	 * Encodes a message into a signed frame with the next sequence number.
	 * @param to address of the receiver
	 * @param message the message
	 * @return the frame
	 * @throws FrameDroppedException if the frame would exceed {@link #MAX_FRAME_BYTES}
	 * @throws IllegalArgumentException if no codec supports the type of the message
	 */
	byte[] encode(NetworkAddress to, PeerMessage message) throws FrameDroppedException {
		Envelope.Builder envelope = Envelope.newBuilder()
			.setFleet(this.identity.fleet())
			.setSender(this.identity.daemon().value())
			.setIncarnation(this.identity.incarnation())
			.setSenderIp(this.identity.address().ip())
			.setSenderPort(this.identity.address().port())
			.setSentAtMillis(this.clock.millis())
			.setSequence(this.nextSequence++);
		this.codecs.encode(message, envelope);
		byte[] payload = envelope.build().toByteArray();
		if (payload.length + HEADER_BYTES > MAX_FRAME_BYTES) {
			throw FrameDroppedException.of(DropReason.TOO_LARGE);
		}
		byte[] frame = new byte[HEADER_BYTES + payload.length];
		frame[0] = VERSION;
		System.arraycopy(this.authenticator.sign(to, payload), 0, frame, 1, FrameAuthenticator.TAG_BYTES);
		System.arraycopy(payload, 0, frame, HEADER_BYTES, payload.length);
		return frame;
	}

	/**
	 * Verifies and decodes a frame.
	 * @param frame the bytes of a datagram from an untrusted source
	 * @return the message with its authenticated sender
	 * @throws FrameDroppedException if the frame is malformed, not authentic, stale, or
	 * replayed
	 */
	ReceivedMessage decode(byte[] frame) throws FrameDroppedException {
		if (frame.length > MAX_FRAME_BYTES) {
			throw FrameDroppedException.of(DropReason.TOO_LARGE);
		}
		if (frame.length <= HEADER_BYTES || frame[0] != VERSION) {
			throw FrameDroppedException.of(DropReason.NOT_A_FRAME);
		}
		byte[] tag = Arrays.copyOfRange(frame, 1, HEADER_BYTES);
		byte[] payload = Arrays.copyOfRange(frame, HEADER_BYTES, frame.length);
		if (!this.authenticator.verify(this.identity.address(), payload, tag)) {
			throw FrameDroppedException.of(DropReason.NOT_AUTHENTIC);
		}
		return validate(parse(payload));
	}

	private ReceivedMessage validate(Envelope envelope) throws FrameDroppedException {
		if (!envelope.getFleet().equals(this.identity.fleet())) {
			throw FrameDroppedException.of(DropReason.OTHER_FLEET);
		}
		Optional<DropReason> dropReason = this.replayGuard.check(envelope.getSender(), envelope.getIncarnation(),
				envelope.getSequence(), Instant.ofEpochMilli(envelope.getSentAtMillis()), this.clock.instant());
		if (dropReason.isPresent()) {
			throw FrameDroppedException.of(dropReason.get());
		}
		try {
			return new ReceivedMessage(DaemonId.of(envelope.getSender()), envelope.getIncarnation(),
					NetworkAddress.of(envelope.getSenderIp(), envelope.getSenderPort()), this.codecs.decode(envelope));
		}
		catch (MalformedMessageException | IllegalArgumentException ex) {
			throw FrameDroppedException.of(DropReason.MALFORMED, ex);
		}
	}

	private static Envelope parse(byte[] payload) throws FrameDroppedException {
		try {
			return Envelope.parseFrom(payload);
		}
		catch (InvalidProtocolBufferException ex) {
			throw FrameDroppedException.of(DropReason.MALFORMED, ex);
		}
	}

}
