package org.sardineport.daemon.relay;

import java.time.Instant;
import java.time.InstantSource;

import io.vertx.core.http.HttpClientConnection;
import org.sardineport.core.backend.BackendProcess;

/**
 * Connection to one process of a backend server. Times are in milliseconds of the pool's
 * clock. Confined to the event loop.
 */
final class BackendConnection {

	private static final long NEVER = Long.MAX_VALUE;

	private final HttpClientConnection connection;

	private final BackendProcess process;

	private final InstantSource clock;

	private final Instant openedAt;

	private long lastDataAt;

	private boolean closedHere;

	private long closedByServerAt = NEVER;

	private long idleSince;

	private long idleUntil;

	BackendConnection(HttpClientConnection connection, BackendProcess process, InstantSource clock) {
		this.connection = connection;
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

	void recordData() {
		this.lastDataAt = this.clock.millis();
	}

	void recordIdle(long idleMillis) {
		this.idleSince = this.clock.millis();
		this.idleUntil = this.idleSince + idleMillis;
	}

	boolean hasExpired() {
		return this.clock.millis() >= this.idleUntil;
	}

	boolean isIdleLongerThan(long millis) {
		return this.clock.millis() - this.idleSince > millis;
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
