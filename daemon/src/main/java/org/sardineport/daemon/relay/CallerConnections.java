package org.sardineport.daemon.relay;

import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.Supplier;

import io.vertx.core.http.HttpConnection;
import org.sardineport.daemon.telemetry.EventLog;

/**
 * Closes callers' connections that have been idle for the configured timeout. Confined to
 * the event loop.
 */
final class CallerConnections {

	private static final EventLog LOG = EventLog.of(CallerConnections.class);

	/** Value of a connection that carries a request. */
	private static final long BUSY = Long.MAX_VALUE;

	private final Map<HttpConnection, Long> idleSince = new IdentityHashMap<>();

	private final Map<HttpConnection, Integer> requestsInFlight = new IdentityHashMap<>();

	private final InstantSource clock;

	private final Supplier<Duration> idleTimeout;

	/**
	 * Creates a set without connections.
	 * @param clock a monotonic clock
	 * @param idleTimeout supplies the maximum time without a request, as configured now
	 */
	CallerConnections(InstantSource clock, Supplier<Duration> idleTimeout) {
		this.clock = Objects.requireNonNull(clock, "clock must not be null");
		this.idleTimeout = Objects.requireNonNull(idleTimeout, "idleTimeout must not be null");
	}

	void opened(HttpConnection connection) {
		this.idleSince.put(connection, this.clock.millis());
		connection.closeHandler((ignored) -> {
			this.idleSince.remove(connection);
			this.requestsInFlight.remove(connection);
		});
	}

	void requestStarted(HttpConnection connection) {
		this.requestsInFlight.merge(connection, 1, Integer::sum);
		this.idleSince.replace(connection, BUSY);
	}

	/**
	 * Marks a connection as idle after the final response to its request.
	 * @param connection the connection; ignored if it is closed already
	 */
	void requestEnded(HttpConnection connection) {
		this.requestsInFlight.computeIfPresent(connection, (key, count) -> (count > 1) ? count - 1 : null);
		this.idleSince.replace(connection, this.clock.millis());
	}

	/**
	 * Closes connections that have been idle for at least the timeout.
	 */
	void closeIdle() {
		long expiredBefore = this.clock.millis() - this.idleTimeout.get().toMillis();
		List<HttpConnection> expired = new ArrayList<>();
		this.idleSince.forEach((connection, idleSinceMillis) -> {
			if (idleSinceMillis <= expiredBefore) {
				expired.add(connection);
			}
		});
		for (HttpConnection connection : expired) {
			LOG.info("caller.idle", "remote", connection.remoteAddress(), "busy",
					this.requestsInFlight.containsKey(connection), "timeout-ms", this.idleTimeout.get().toMillis());
			connection.close();
		}
	}

}
