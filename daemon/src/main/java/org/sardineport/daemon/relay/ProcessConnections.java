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

	/**
	 * Time for which an idle connection must have stayed open beside another one to show
	 * that both lead to the same process.
	 */
	private static final Duration MIN_OVERLAP = Duration.ofMillis(100);

	private final Set<BackendConnection> open = new LinkedHashSet<>();

	/** Idle connections, most recently used first. */
	private final Deque<BackendConnection> idle = new ArrayDeque<>();

	/** Connections that the backend server closed, most recently closed first. */
	private final Deque<BackendConnection> closed = new ArrayDeque<>();

	void add(BackendConnection connection) {
		this.idle.stream()
			.filter((each) -> each.helper() == null)
			.forEach((each) -> connection.recordSameProcess(each.sameProcessSince()));
		this.open.add(connection);
	}

	void remove(BackendConnection connection) {
		this.open.remove(connection);
		if (this.idle.remove(connection) && connection.isClosedByServer()) {
			this.open.forEach((each) -> each.recordIdleClosed(MIN_OVERLAP));
		}
		if (connection.isClosedByServer()) {
			this.closed.addFirst(connection);
		}
		if (this.closed.size() > MAX_CLOSED) {
			this.closed.removeLast();
		}
	}

	/**
	 * Leaves an idle connection unused for a time: the reserved one if there is any, else
	 * the one that the backend server keeps open for longest.
	 * @param millis the time, in milliseconds
	 * @return the connection, or {@code null} if none is idle
	 */
	@Nullable BackendConnection reserveIdle(long millis) {
		BackendConnection chosen = this.idle.stream()
			.filter(BackendConnection::isReserved)
			.findFirst()
			.orElse(this.idle.peekFirst());
		if (chosen != null) {
			chosen.reserve(millis);
		}
		return chosen;
	}

	/**
	 * Ends the reservation of idle connections, unless another response ends with its
	 * connection.
	 * @param millis time for which it lasts at most, in milliseconds
	 */
	void endReservation(long millis) {
		if (!isAnyObserved()) {
			this.idle.forEach((each) -> each.endReservation(millis));
		}
	}

	private boolean isAnyObserved() {
		return this.open.stream().anyMatch(BackendConnection::isObserved);
	}

	boolean isEmpty() {
		return this.open.isEmpty();
	}

	/**
	 * Takes the most recently used idle connection that is not reserved, and closes those
	 * that have received bytes that belong to no request. Closes those that have expired
	 * as well, unless they show that a process goes on whose response ends, or has ended,
	 * with its connection.
	 * @param maxIdle maximum time for which it may have been idle
	 * @return the connection, or {@code null} if there is none
	 */
	@Nullable BackendConnection takeIdle(Duration maxIdle) {
		if (!isAnyObserved()) {
			closeIdle((each) -> each.hasExpired() && !each.isKeptOpen());
		}
		BackendConnection mostRecent = mostRecentIdle();
		while (mostRecent != null && mostRecent.hasSurplusBytes()) {
			this.idle.remove(mostRecent);
			mostRecent.close();
			mostRecent = mostRecentIdle();
		}
		if (mostRecent == null || mostRecent.isIdleLongerThan(maxIdle.toMillis())) {
			return null;
		}
		this.idle.remove(mostRecent);
		return mostRecent;
	}

	private @Nullable BackendConnection mostRecentIdle() {
		return this.idle.stream().filter((each) -> !each.isReserved() && !each.hasExpired()).findFirst().orElse(null);
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
	 * Returns when the oldest open connection was opened of those that are read, as the
	 * end of the process is not seen on others.
	 * @return the time, or empty if there is none
	 */
	Optional<Instant> oldestOpenedAt() {
		return this.open.stream()
			.filter((each) -> !each.isPaused())
			.map(BackendConnection::openedAt)
			.min(Comparator.naturalOrder());
	}

	List<BackendConnection> known(long closedSince) {
		List<BackendConnection> known = new ArrayList<>(this.open);
		this.closed.stream().filter((each) -> each.isClosedByServerSince(closedSince)).forEach(known::add);
		return known;
	}

}
