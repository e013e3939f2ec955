package org.sardineport.wire.transport;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.port.peer.PeerMessage;
import org.sardineport.wire.message.Envelope;

/**
 * Selects the codec of a message by its type, and of an envelope by its body. Immutable.
 */
final class CodecRegistry {

	private final Map<Envelope.BodyCase, PeerCodec<?>> byCase;

	private CodecRegistry(Map<Envelope.BodyCase, PeerCodec<?>> byCase) {
		this.byCase = byCase;
	}

	/**
	 * Returns a registry of the given codecs.
	 * @param codecs the codecs, one for each body of the envelope
	 * @return the registry
	 * @throws IllegalArgumentException if two codecs use the same body
	 */
	static CodecRegistry of(List<PeerCodec<?>> codecs) {
		Map<Envelope.BodyCase, PeerCodec<?>> byCase = new EnumMap<>(Envelope.BodyCase.class);
		for (PeerCodec<?> codec : codecs) {
			if (byCase.put(codec.bodyCase(), codec) != null) {
				throw new IllegalArgumentException("two codecs for body %s".formatted(codec.bodyCase()));
			}
		}
		return new CodecRegistry(byCase);
	}

	/**
	 * Encodes a message into an envelope's body.
	 * @param message the message
	 * @param envelope the envelope to write to
	 * @throws IllegalArgumentException if no codec supports the type of the message
	 */
	void encode(PeerMessage message, Envelope.Builder envelope) {
		for (PeerCodec<?> codec : this.byCase.values()) {
			if (codec.type().isInstance(message)) {
				encode(codec, message, envelope);
				return;
			}
		}
		throw new IllegalArgumentException("no codec for messages of type %s".formatted(message.getClass()));
	}

	/**
	 * Decodes the message of an envelope.
	 * @param envelope the envelope
	 * @return the message
	 * @throws MalformedMessageException if the body is unknown or can't be decoded
	 */
	PeerMessage decode(Envelope envelope) throws MalformedMessageException {
		@Nullable PeerCodec<?> codec = this.byCase.get(envelope.getBodyCase());
		if (codec == null) {
			throw MalformedMessageException.of("no codec for body %s".formatted(envelope.getBodyCase()));
		}
		try {
			return codec.decode(envelope);
		}
		catch (RuntimeException ex) {
			throw MalformedMessageException.of("could not decode body %s".formatted(envelope.getBodyCase()), ex);
		}
	}

	private static <M extends PeerMessage> void encode(PeerCodec<M> codec, PeerMessage message,
			Envelope.Builder envelope) {
		codec.encode(codec.type().cast(message), envelope);
	}

}
