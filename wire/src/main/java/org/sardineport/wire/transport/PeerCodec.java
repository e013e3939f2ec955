package org.sardineport.wire.transport;

import org.sardineport.core.port.peer.PeerMessage;
import org.sardineport.wire.message.Envelope;

/**
 * Encodes and decodes the messages of one body of the envelope. Implementations are
 * thread-safe.
 *
 * @param <M> base type of the messages
 */
public interface PeerCodec<M extends PeerMessage> {

	/**
	 * Returns the base type of the messages.
	 * @return the type
	 */
	Class<M> type();

	/**
	 * Returns the body of the envelope that carries the messages.
	 * @return the case of the body
	 */
	Envelope.BodyCase bodyCase();

	/**
	 * Encodes a message into the envelope's body.
	 * @param message the message
	 * @param envelope the envelope to write to
	 */
	void encode(M message, Envelope.Builder envelope);

	/**
	 * Decodes the message of an envelope whose body is of this codec's case.
	 * @param envelope the envelope, from an authenticated frame
	 * @return the message
	 * @throws MalformedMessageException if a field is missing or out of range
	 */
	M decode(Envelope envelope) throws MalformedMessageException;

}
