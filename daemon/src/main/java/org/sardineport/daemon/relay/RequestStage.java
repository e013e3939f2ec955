package org.sardineport.daemon.relay;

import java.util.Locale;

/**
 * Stages of a forwarded request, in their order. The failure of an attempt ends the stage
 * that it was in; a retry passes those from {@link #PREPARE} on again.
 */
enum RequestStage {

	/**
	 * From the opening of the caller's connection to the head of its first request.
	 */
	ACCEPT,

	/** From the estimated arrival to the event loop's reading of the head. */
	READ,

	/** Until the request is admitted: read passes, and the wait for readiness. */
	ADMIT,

	/** Until the last byte of the body is read. */
	BODY,

	/** Until a permit is requested. */
	PREPARE,

	/** Until the scheduling thread takes the request up. */
	RING,

	/** Until the owner of a backend server grants a permit or queues the request. */
	PERMIT,

	/** In the owner's queue. */
	QUEUE,

	/** From the permit, or the refusal, until the event loop takes it. */
	HAND_BACK,

	/** Until the event loop has read what its connections had received. */
	READ_PASS,

	/** From the dispatch until there is a connection to the backend server. */
	CONNECT,

	/** Until the request is written to it. */
	SEND,

	/** Until the head of the response is read. */
	BACKEND,

	/** Until the end of the response is passed to the caller's connection. */
	RESPONSE,

	/** Until it is written to the socket. */
	WRITE;

	private final String label = name().toLowerCase(Locale.ROOT).replace('_', '-');

	/**
	 * Returns the name in logs and metrics.
	 * @return the name
	 */
	String label() {
		return this.label;
	}

}
