package org.sardineport.daemon.relay;

import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.OptionalLong;
import java.util.function.Supplier;

import io.vertx.core.http.HttpConnection;
import org.sardineport.daemon.telemetry.EventLog;

/**
 * Closes callers' connections that have been idle for the configured timeout. Confined to
 * the event loop.
 */
final class CallerConnections {

	private static final EventLog LOG = EventLog.of(CallerConnections.class);

	/** Time without a request after which a connection may be closed for another one. */
	private static final Duration MIN_IDLE = Duration.ofSeconds(1);

	private final Map<HttpConnection, Activity> activities = new IdentityHashMap<>();

	private final InstantSource clock;

	private final Supplier<Duration> idleTimeout;

	private final int maximum;

	/**
	 * Creates a set without connections.
	 * @param clock a monotonic clock
	 * @param idleTimeout supplies the maximum time without a request, as configured now
	 * @param maximum maximum number of connections
	 */
	CallerConnections(InstantSource clock, Supplier<Duration> idleTimeout, int maximum) {
		this.clock = Objects.requireNonNull(clock, "clock must not be null");
		this.idleTimeout = Objects.requireNonNull(idleTimeout, "idleTimeout must not be null");
		this.maximum = maximum;
	}

	/**
	 * Records a connection. If there are too many, the one that has been idle longest is
	 * closed for it, or else this one.
	 * @param connection the connection
	 * @return whether it stays open
	 */
	boolean opened(HttpConnection connection) {
		if (this.activities.size() >= this.maximum && !closeLongestIdle()) {
			LOG.info("caller.too-many-connections", "remote", connection.remoteAddress(), "maximum", this.maximum);
			connection.close();
			return false;
		}
		this.activities.put(connection, new Activity(this.clock.millis()));
		connection.closeHandler((ignored) -> this.activities.remove(connection));
		return true;
	}

	private boolean closeLongestIdle() {
		long latest = this.clock.millis() - MIN_IDLE.toMillis();
		HttpConnection longest = null;
		for (Map.Entry<HttpConnection, Activity> entry : this.activities.entrySet()) {
			Activity activity = entry.getValue();
			if (activity.requestsInFlight == 0 && activity.lastResponseAt < latest) {
				longest = entry.getKey();
				latest = activity.lastResponseAt;
			}
		}
		if (longest == null) {
			return false;
		}
		LOG.info("caller.idle-closed-for-another", "remote", longest.remoteAddress(), "maximum", this.maximum);
		this.activities.remove(longest);
		longest.close();
		return true;
	}

	boolean isEmpty() {
		return this.activities.isEmpty();
	}

	/**
	 * Returns when a connection was opened whose first request starts.
	 * @param connection the connection
	 * @return the time in milliseconds, or empty for a later request
	 */
	OptionalLong openedForFirst(HttpConnection connection) {
		Activity activity = this.activities.get(connection);
		return (activity != null && activity.requests <= 1) ? OptionalLong.of(activity.lastResponseAt)
				: OptionalLong.empty();
	}

	void requestStarted(HttpConnection connection) {
		Activity activity = this.activities.get(connection);
		if (activity != null) {
			activity.requests++;
			activity.requestsInFlight++;
		}
	}

	/**
	 * Records the final response to a request. The connection is idle from now on unless
	 * a pipelined request follows, which may have started before this call.
	 * @param connection the connection; ignored if it is closed already
	 */
	void requestEnded(HttpConnection connection) {
		Activity activity = this.activities.get(connection);
		if (activity != null) {
			activity.requestsInFlight--;
			activity.lastResponseAt = this.clock.millis();
		}
	}

	/**
	 * Returns whether no request is in flight on a connection.
	 * @param connection the connection
	 * @return whether it may be closed without losing a request that was read
	 */
	boolean isIdle(HttpConnection connection) {
		Activity activity = this.activities.get(connection);
		return activity == null || activity.requestsInFlight == 0;
	}

	/**
	 * Closes connections that have been idle for at least the timeout.
	 */
	void closeIdle() {
		long expiredBefore = this.clock.millis() - this.idleTimeout.get().toMillis();
		List<HttpConnection> expired = new ArrayList<>();
		this.activities.forEach((connection, activity) -> {
			if (activity.requestsInFlight == 0 && activity.lastResponseAt <= expiredBefore) {
				expired.add(connection);
			}
		});
		for (HttpConnection connection : expired) {
			LOG.info("caller.idle", "remote", connection.remoteAddress(), "timeout-ms",
					this.idleTimeout.get().toMillis());
			connection.close();
		}
	}

	/**
	 * What one connection carries.
	 */
	private static final class Activity {

		private long requests;

		private int requestsInFlight;

		/** Milliseconds; the time at which the connection was opened before any. */
		private long lastResponseAt;

		Activity(long openedAt) {
			this.lastResponseAt = openedAt;
		}

	}

}
