package org.sardineport.daemon.relay;

import java.time.Instant;
import java.time.InstantSource;

import io.vertx.core.http.HttpClientConnection;
import org.jspecify.annotations.Nullable;
import org.sardineport.core.backend.BackendProcess;
import org.sardineport.core.identity.DaemonId;

/**
 * Connection to one process of a backend server. Times are in milliseconds of the pool's
 * clock. Confined to the event loop.
 */
final class BackendConnection {

	private static final long NEVER = Long.MAX_VALUE;

	private final HttpClientConnection connection;

	private final BackendProcess process;

	private final @Nullable DaemonId helper;

	private final InstantSource clock;

	private final Instant openedAt;

	private long lastDataAt;

	private boolean closedHere;

	private boolean endedByResponse;

	private long closedByServerAt = NEVER;

	private long idleSince;

	private long idleUntil;

	BackendConnection(OpenedConnection opened, BackendProcess process, InstantSource clock) {
		this.connection = opened.http();
		this.helper = opened.helper();
		this.process = process;
		this.clock = clock;
		this.openedAt = clock.instant();
		this.lastDataAt = this.openedAt.toEpochMilli();
	}

	HttpClientConnection http() {
		return this.connection;
	}

	BackendProcess process() {
		return this.process;
	}

	/**
	 * Returns the daemon that carries the connection.
	 * @return the daemon, or {@code null} if the connection is direct
	 */
	@Nullable DaemonId helper() {
		return this.helper;
	}

	Instant openedAt() {
		return this.openedAt;
	}

	/**
	 * Closes the connection. It does not count as closed by the backend server then.
	 */
	void close() {
		this.closedHere = true;
		this.connection.close();
	}

	void recordClosed() {
		if (!this.closedHere) {
			this.closedByServerAt = this.clock.millis();
		}
	}

	/**
	 * Records that the connection carries a response that ends with it.
	 */
	void recordEndedByResponse() {
		this.endedByResponse = true;
	}

	/**
	 * Returns whether the connection ends with a response, so that its end does not tell
	 * whether the process goes on.
	 * @return {@code true} once the head of such a response was received
	 */
	boolean isEndedByResponse() {
		return this.endedByResponse;
	}

	void recordData() {
		this.lastDataAt = this.clock.millis();
	}

	void recordIdle(long idleMillis) {
		this.idleSince = this.clock.millis();
		this.idleUntil = this.idleSince + idleMillis;
	}

	boolean hasDataSince(long time) {
		return this.lastDataAt >= time;
	}

	boolean hasExpired() {
		return this.clock.millis() >= this.idleUntil;
	}

	boolean isIdleLongerThan(long millis) {
		return this.clock.millis() - this.idleSince > millis;
	}

	ConnectionState state() {
		if (this.closedHere) {
			return ConnectionState.CLOSED_HERE;
		}
		return isClosedByServer() ? ConnectionState.CLOSED_BY_SERVER : ConnectionState.OPEN;
	}

	/**
	 * Returns when the backend server closed the connection.
	 * @param now the current time, in milliseconds of the clock
	 * @return the time, or the current one if it has not
	 */
	long closedAt(long now) {
		return Math.min(this.closedByServerAt, now);
	}

	boolean isClosedByServer() {
		return this.closedByServerAt != NEVER;
	}

	boolean isClosedByServerSince(long time) {
		return isClosedByServer() && this.closedByServerAt >= time;
	}

	boolean isRespondingSince(long time) {
		return !this.closedHere && !isClosedByServer() && this.lastDataAt > time;
	}

}
