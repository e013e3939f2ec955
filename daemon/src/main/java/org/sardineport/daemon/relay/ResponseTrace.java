package org.sardineport.daemon.relay;

import java.util.Arrays;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.exchange.ResponseFraming;

/**
 * What was observed of the response to one attempt, for logs.
 *
 * @param framing how the response states its end, or {@code null} without a head
 * @param events number of whole events received
 * @param lastEventId identity of the last event that the caller has; -1 if none
 * @param idSkips how often the identity of an event was not the one before plus one
 * @param remainingBytes number of bytes after the last whole event
 * @param connectionState who has closed the connection, or {@code null} if none was used
 */
record ResponseTrace(@Nullable ResponseFraming framing, int events, long lastEventId, int idSkips, int remainingBytes,
		@Nullable ConnectionState connectionState) {

	/**
	 * Adds the observations to a line of the log.
	 * @param pairs alternating keys and values of the line
	 * @return these and those of the response
	 */
	Object[] addTo(Object... pairs) {
		Object[] own = { "framing", (this.framing != null) ? this.framing.label() : null, "events", this.events,
				"last-event", this.lastEventId, "id-skips", this.idSkips, "remaining-bytes", this.remainingBytes,
				"connection", (this.connectionState != null) ? this.connectionState.label() : null };
		Object[] all = Arrays.copyOf(pairs, pairs.length + own.length);
		System.arraycopy(own, 0, all, pairs.length, own.length);
		return all;
	}

}
