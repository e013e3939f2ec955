package org.sardineport.wire.transport;

import org.sardineport.core.port.peer.PeerMessage;
import org.sardineport.wire.message.Envelope;

/**
 * Translates the messages of one area to and from the envelope's body. Implementations
 * are safe for use by any thread.
 *
 * @param <M> base type of the area's messages
 */
public interface PeerCodec<M extends PeerMessage> {

	/**
	 * Returns the base type of the area's messages.
	 * @return the type
	 */
	Class<M> type();

	/**
	 * Returns which body of the envelope the area uses.
	 * @return the body's case
	 */
	Envelope.BodyCase bodyCase();

	/**
	 * Writes a message as the envelope's body.
	 * @param message the message
	 * @param envelope where to write it
	 */
	void encode(M message, Envelope.Builder envelope);

	/**
	 * Reads the message of an envelope whose body is of this codec's case.
	 * @param envelope the envelope, from an authenticated frame
	 * @return the message
	 * @throws MalformedMessageException if a field is missing or out of range
	 */
	M decode(Envelope envelope) throws MalformedMessageException;

}
