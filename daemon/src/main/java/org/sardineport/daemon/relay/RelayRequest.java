package org.sardineport.daemon.relay;

import java.time.Duration;
import java.time.Instant;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import org.sardineport.core.relay.CallerHead;
import org.sardineport.core.relay.RelayAdmission;

/**
 * A request that was let in and read to its end.
 *
 * @param head its head
 * @param admission under what it was let in
 * @param headers all headers as the caller sent them
 * @param body the whole body
 * @param arrival when its head came
 */
record RelayRequest(CallerHead head, RelayAdmission admission, MultiMap headers, Buffer body, Instant arrival) {

	/**
	 * Returns when its caller has its final answer at the latest.
	 * @return the caller's own limit or that of the route, whichever is earlier
	 */
	Instant deadline() {
		Duration timeout = this.admission.route().timeout();
		Duration left = this.head.timeLeft();
		return this.arrival.plus((left != null && left.compareTo(timeout) < 0) ? left : timeout);
	}

}
