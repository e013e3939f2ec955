package org.sardineport.daemon.relay;

import java.time.Duration;
import java.time.Instant;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import org.sardineport.core.relay.RelayAdmission;
import org.sardineport.core.relay.RequestHead;

/**
 * An admitted request that has been read completely.
 *
 * @param head head of the request
 * @param admission configuration, route and organisation under which it was admitted
 * @param headers all headers as the caller sent them
 * @param body the whole body
 * @param arrival time at which its head arrived
 * @param readInTurn the turn of the event loop in which its last byte was read
 * @param stages time spent in each stage
 */
record RelayRequest(RequestHead head, RelayAdmission admission, MultiMap headers, Buffer body, Instant arrival,
		long readInTurn, StageTimes stages) {

	/** Time before the caller's deadline at which the final response is sent. */
	private static final Duration RESPONSE_MARGIN = Duration.ofMillis(25);

	/**
	 * Returns when the final response is sent if there is none by then. From then on the
	 * request is not sent to any backend server.
	 * @return a little before the {@link #deadline()}
	 */
	Instant latestResponse() {
		return deadline().minus(RESPONSE_MARGIN);
	}

	/**
	 * Returns the latest time for the final response to the caller.
	 * @return the caller's own deadline or that of the route, whichever is earlier
	 */
	Instant deadline() {
		return this.arrival.plus(this.head.timeLimit(this.admission.route()));
	}

}
