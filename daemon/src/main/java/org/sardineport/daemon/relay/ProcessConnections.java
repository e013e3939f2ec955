package org.sardineport.daemon.relay;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.identity.DaemonId;

/**
 * Connections to one process of a backend server. Confined to the event loop.
 */
final class ProcessConnections {

	/** Maximum number of idle connections. */
	private static final int MAX_IDLE = 16;

	/** Maximum number of closed connections that are remembered. */
	private static final int MAX_CLOSED = 8;

	private final Set<BackendConnection> open = new LinkedHashSet<>();

	/** Idle connections, most recently used first. */
	private final Deque<BackendConnection> idle = new ArrayDeque<>();

	/** Connections that the backend server closed, most recently closed first. */
	private final Deque<BackendConnection> closed = new ArrayDeque<>();

	void add(BackendConnection connection) {
		this.open.add(connection);
	}

	void remove(BackendConnection connection) {
		this.open.remove(connection);
		this.idle.remove(connection);
		if (connection.isClosedByServer()) {
			this.closed.addFirst(connection);
		}
		if (this.closed.size() > MAX_CLOSED) {
			this.closed.removeLast();
		}
	}

	/**
	 * Returns whether a connection is open that goes on after the responses that run.
	 * @return whether its end would show that the process ends
	 */
	boolean hasLasting() {
		return this.open.stream().anyMatch((connection) -> !connection.isEndedByResponse());
	}

	boolean isEmpty() {
		return this.open.isEmpty();
	}

	/**
	 * Takes the most recently used idle connection and closes those that have expired.
	 * @param maxIdle maximum time for which it may have been idle
	 * @return the connection, or {@code null} if there is none
	 */
	@Nullable BackendConnection takeIdle(Duration maxIdle) {
		closeIdle(BackendConnection::hasExpired);
		BackendConnection mostRecent = this.idle.peekFirst();
		if (mostRecent == null || mostRecent.isIdleLongerThan(maxIdle.toMillis())) {
			return null;
		}
		return this.idle.removeFirst();
	}

	/**
	 * Closes idle connections.
	 * @param condition which of them
	 */
	void closeIdle(Predicate<BackendConnection> condition) {
		List<BackendConnection> closing = this.idle.stream().filter(condition).toList();
		this.idle.removeAll(closing);
		closing.forEach(BackendConnection::close);
	}

	boolean hasDataSince(long time) {
		return this.open.stream().anyMatch((connection) -> connection.hasDataSince(time));
	}

	boolean isCarriedBy(DaemonId helper) {
		return this.open.stream().anyMatch((connection) -> helper.equals(connection.helper()));
	}

	/**
	 * Keeps a connection for a later request.
	 * @param connection the connection
	 * @param idleTime time for which it may be kept
	 * @return {@code false} if enough connections are idle
	 */
	boolean keepIdle(BackendConnection connection, Duration idleTime) {
		if (this.idle.size() >= MAX_IDLE || !this.open.contains(connection)) {
			return false;
		}
		connection.recordIdle(idleTime.toMillis());
		this.idle.addFirst(connection);
		return true;
	}

	/**
	 * Returns when the oldest open connection was opened.
	 * @return the time, or empty if none is open
	 */
	Optional<Instant> oldestOpenedAt() {
		return this.open.stream().map(BackendConnection::openedAt).min(Comparator.naturalOrder());
	}

	List<BackendConnection> known(long closedSince) {
		List<BackendConnection> known = new ArrayList<>(this.open);
		this.closed.stream().filter((each) -> each.isClosedByServerSince(closedSince)).forEach(known::add);
		return known;
	}

}
