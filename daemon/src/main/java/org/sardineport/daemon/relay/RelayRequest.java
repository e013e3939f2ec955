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
 */
record RelayRequest(RequestHead head, RelayAdmission admission, MultiMap headers, Buffer body, Instant arrival) {

	/**
	 * Returns the latest time for the final response to the caller.
	 * @return the caller's own deadline or that of the route, whichever is earlier
	 */
	Instant deadline() {
		Duration timeout = this.admission.route().timeout();
		Duration remaining = this.head.remainingTime();
		return this.arrival.plus((remaining != null && remaining.compareTo(timeout) < 0) ? remaining : timeout);
	}

}
