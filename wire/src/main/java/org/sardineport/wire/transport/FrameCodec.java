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
 * Builds frames and takes them apart: one byte of version, the tag, and the envelope. Not
 * safe for use by several threads.
 */
final class FrameCodec {

	/** Largest frame in bytes; it fits into one datagram. */
	static final int MAXIMUM_FRAME_BYTES = 60 * 1024;

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
	 * Builds a frame.
	 * @param to the receiver
	 * @param message the message
	 * @return the frame
	 * @throws FrameDroppedException if the message is too large
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
		if (payload.length + HEADER_BYTES > MAXIMUM_FRAME_BYTES) {
			throw FrameDroppedException.of(DropReason.TOO_LARGE);
		}
		byte[] frame = new byte[HEADER_BYTES + payload.length];
		frame[0] = VERSION;
		System.arraycopy(this.authenticator.sign(to, payload), 0, frame, 1, FrameAuthenticator.TAG_BYTES);
		System.arraycopy(payload, 0, frame, HEADER_BYTES, payload.length);
		return frame;
	}

	/**
	 * Takes a frame apart.
	 * @param frame the bytes of a datagram, of any origin
	 * @return the message with its authenticated sender
	 * @throws FrameDroppedException if the frame is not to be heard
	 */
	ReceivedMessage decode(byte[] frame) throws FrameDroppedException {
		if (frame.length > MAXIMUM_FRAME_BYTES) {
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
		return open(parse(payload));
	}

	private ReceivedMessage open(Envelope envelope) throws FrameDroppedException {
		if (!envelope.getFleet().equals(this.identity.fleet())) {
			throw FrameDroppedException.of(DropReason.OTHER_FLEET);
		}
		Optional<DropReason> repeated = this.replayGuard.check(envelope.getSender(), envelope.getIncarnation(),
				envelope.getSequence(), Instant.ofEpochMilli(envelope.getSentAtMillis()), this.clock.instant());
		if (repeated.isPresent()) {
			throw FrameDroppedException.of(repeated.get());
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
