package org.sardineport.daemon.relay;

import java.time.Duration;
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

	/** Latest time at which the backend server was asked for the connection. */
	private final Instant askedAt;

	private final Instant openedAt;

	/** Since when the process behind the connection is known to be the same one. */
	private long sameProcessSince;

	private long observedAt = NEVER;

	private long lastDataAt;

	private long sentAt;

	/** When the last request was sent that has an answer. */
	private long answeredSentAt;

	private boolean paused;

	private long pauseChangedAt;

	private long reservedUntil;

	private long keptOpenUntil;

	private long replacementAt;

	private boolean closedHere;

	private long closedByServerAt = NEVER;

	private long idleSince;

	private long idleUntil;

	BackendConnection(OpenedConnection opened, BackendProcess process, InstantSource clock, Instant requestedAt) {
		this.connection = opened.http();
		this.helper = opened.helper();
		this.process = process;
		this.clock = clock;
		this.openedAt = clock.instant();
		this.lastDataAt = this.openedAt.toEpochMilli();
		this.askedAt = (this.helper == null) ? requestedAt : this.openedAt;
		this.sameProcessSince = this.askedAt.toEpochMilli();
		ResponseCodec.install(this.connection);
		ResponseParts.install(this.connection);
		InformationalResponseFilter.install(this.connection);
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
	 * Returns since when the process behind the connection is known to be the same one:
	 * since the backend server was asked for the connection, which another daemon may do
	 * late, or earlier if others show it.
	 * @return the time
	 */
	long sameProcessSince() {
		return this.sameProcessSince;
	}

	/**
	 * Records that another connection to the same process is open and idle.
	 * @param since since when the process of the other one is known to be the same
	 */
	void recordSameProcess(long since) {
		this.sameProcessSince = Math.min(this.sameProcessSince, since);
	}

	/**
	 * Records that the backend server has closed an idle connection, so that one that was
	 * opened shortly before may lead to the next process already.
	 * @param overlap how long both must have been open to lead to the same process
	 */
	void recordIdleClosed(Duration overlap) {
		if (this.clock.millis() - this.openedAt.toEpochMilli() < overlap.toMillis()) {
			this.sameProcessSince = this.askedAt.toEpochMilli();
		}
	}

	/**
	 * Records that the current response ends with the connection, and that the process is
	 * observed by others from now on.
	 * @param aliveAt a time at which the process still ran that sends the response
	 */
	void recordObserved(long aliveAt) {
		this.observedAt = aliveAt;
	}

	boolean isObserved() {
		return this.observedAt != NEVER;
	}

	/**
	 * Returns whether another connection leads to the process that began the current
	 * response.
	 * @param other the other connection
	 * @return {@code false} also if it may lead to the next process, which has started
	 * since
	 */
	boolean isOfSameProcess(BackendConnection other) {
		return other.sameProcessSince <= this.observedAt;
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
	 * Records that a request is sent.
	 */
	void recordSent() {
		this.sentAt = this.clock.millis();
		this.observedAt = NEVER;
	}

	void recordData() {
		this.lastDataAt = this.clock.millis();
		this.answeredSentAt = this.sentAt;
	}

	/**
	 * Records whether data is left unread. The end of the connection is not seen then.
	 * @param isPaused whether no data is read
	 */
	void recordPaused(boolean isPaused) {
		this.paused = isPaused;
		this.pauseChangedAt = this.clock.millis();
	}

	boolean isPaused() {
		return this.paused;
	}

	/**
	 * Returns whether the connection is open and was read all the time, so that the end
	 * of the process would have ended it visibly.
	 * @param time the beginning of that time
	 * @return {@code false} also if it was paused, as data may have come before the end
	 */
	boolean isWatchedSince(long time) {
		return !this.paused && this.pauseChangedAt <= time && state() == ConnectionState.OPEN;
	}

	/**
	 * Returns whether a request that was sent after a time has an answer.
	 * @param time the time
	 * @return whether the process went on then, even if it has closed the connection
	 * since
	 */
	boolean hasAnsweredSince(long time) {
		return this.answeredSentAt > time;
	}

	void recordIdle(long idleMillis) {
		this.idleSince = this.clock.millis();
		this.idleUntil = this.idleSince + idleMillis;
	}

	boolean hasDataSince(long time) {
		return this.lastDataAt >= time;
	}

	/**
	 * Leaves the connection unused, so that its end tells of the process.
	 * @param millis for how long, in milliseconds
	 */
	void reserve(long millis) {
		this.reservedUntil = this.clock.millis() + millis;
	}

	/**
	 * Keeps the connection open for a time, even if it expires. It may be used for a
	 * request until it does.
	 * @param millis the time, in milliseconds
	 */
	void keepOpen(long millis) {
		this.keptOpenUntil = this.clock.millis() + millis;
	}

	boolean isKeptOpen() {
		return this.clock.millis() < this.keptOpenUntil;
	}

	/**
	 * Ends the time for which the connection is left unused.
	 * @param millis maximum time that it lasts still, in milliseconds
	 */
	void endReservation(long millis) {
		this.reservedUntil = Math.min(this.reservedUntil, this.clock.millis() + millis);
	}

	/**
	 * Records that another connection is opened in place of this one.
	 */
	void recordReplacement() {
		this.replacementAt = this.clock.millis();
	}

	/**
	 * Returns whether the connection is idle for long, and the last try to replace it is
	 * as long ago.
	 * @param millis the time, in milliseconds
	 * @return whether to open another one in its place
	 */
	boolean isReplacementDue(long millis) {
		return isIdleLongerThan(millis) && this.clock.millis() - this.replacementAt > millis;
	}

	boolean isReserved() {
		return this.clock.millis() < this.reservedUntil;
	}

	boolean hasExpired() {
		return !isReserved() && this.clock.millis() >= this.idleUntil;
	}

	/**
	 * Returns whether bytes have arrived that belong to no request.
	 * @return whether the connection, on which no request runs, must not be used again
	 */
	boolean hasSurplusBytes() {
		return SurplusBytes.areOn(this.connection);
	}

	boolean isIdleLongerThan(long millis) {
		return this.clock.millis() - this.idleSince > millis;
	}

	ConnectionState state() {
		if (isClosedByServer()) {
			return ConnectionState.CLOSED_BY_SERVER;
		}
		return this.closedHere ? ConnectionState.CLOSED_HERE : ConnectionState.OPEN;
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
