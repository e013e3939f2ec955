package org.sardineport.daemon.relay;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import java.util.function.Predicate;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import org.jspecify.annotations.Nullable;
import org.sardineport.core.backend.BackendProcess;
import org.sardineport.core.backend.BackendServer;
import org.sardineport.core.fleet.FleetSnapshot;
import org.sardineport.core.fleet.FleetView;
import org.sardineport.core.fleet.ListRead;
import org.sardineport.core.fleet.ListReads;
import org.sardineport.core.fleet.MemberStatus;
import org.sardineport.core.identity.BackendServerId;
import org.sardineport.core.identity.DaemonId;
import org.sardineport.core.lifecycle.Service;

/**
 * Connection pool for backend servers. Each connection carries one request at a time.
 * While this daemon has no path to a backend server, its connections are carried by other
 * daemons. Confined to the event loop.
 */
final class BackendConnections implements Service, PathListener {

	/** Interval between calls of {@link BackendConnector#checkLostPaths()}. */
	private static final Duration CHECK_INTERVAL = Duration.ofMillis(250);

	/**
	 * Minimum time between two checks of a path that were caused by a slow response, in
	 * milliseconds.
	 */
	private static final long MIN_CHECK_MILLIS = 1000;

	/**
	 * Time since data of a backend server for which its path needs no check, in
	 * milliseconds.
	 */
	private static final long FRESH_DATA_MILLIS = 200;

	/** Time for which a connection is kept that was opened for a check. */
	private static final Duration CHECKED_IDLE_TIME = Duration.ofSeconds(1);

	/**
	 * Time for which an idle connection is not used after a part of a response that ends
	 * with its connection: longer than such a response pauses.
	 */
	private static final Duration RESERVED_TIME = Duration.ofSeconds(10);

	/**
	 * Time for which it is not used after the last such response, or after another one
	 * was opened in its place: longer than the judgement of an end takes, and than the
	 * backend server needs to close the other one.
	 */
	private static final Duration JUDGEMENT_TIME = Duration.ofMillis(650);

	/** Age of such a connection from which it is replaced by a new one. */
	private static final Duration MAX_RESERVED_IDLE = Duration.ofMillis(500);

	private final Vertx vertx;

	private final InstantSource clock;

	private final BackendConnector connector;

	private final FleetView fleet;

	private final ListReads listReads;

	private final Map<BackendProcess, ProcessConnections> processes = new HashMap<>();

	private final Map<BackendServerId, Long> checkedAt = new HashMap<>();

	private final Map<BackendServerId, Future<Void>> checks = new HashMap<>();

	private final ReadTurns turns = new ReadTurns();

	private long allCheckedAt = Long.MIN_VALUE / 2;

	private final DemandTimer checkTimer;

	private final DemandTimer turnTimer;

	private Consumer<BackendProcess> disconnectListener = (process) -> {
	};

	private BackendConnections(Vertx vertx, InstantSource clock, BackendConnector connector, FleetView fleet,
			ListReads listReads) {
		this.vertx = Objects.requireNonNull(vertx, "vertx must not be null");
		this.clock = Objects.requireNonNull(clock, "clock must not be null");
		this.connector = Objects.requireNonNull(connector, "connector must not be null");
		this.fleet = Objects.requireNonNull(fleet, "fleet must not be null");
		this.listReads = Objects.requireNonNull(listReads, "listReads must not be null");
		this.checkTimer = new DemandTimer(vertx, CHECK_INTERVAL, connector::checkLostPaths);
		this.turnTimer = new DemandTimer(vertx, ReadTurns.INTERVAL, this::recordTurn);
	}

	/**
	 * Returns a pool without connections.
	 * @param vertx runs timers
	 * @param clock a monotonic clock
	 * @param connector opens connections
	 * @param fleet view of the daemons and backend servers
	 * @param listReads reads of the VM list, by the same clock
	 * @return the pool
	 */
	static BackendConnections create(Vertx vertx, InstantSource clock, BackendConnector connector, FleetView fleet,
			ListReads listReads) {
		BackendConnections created = new BackendConnections(vertx, clock, connector, fleet, listReads);
		connector.listen(created);
		return created;
	}

	@Override
	public CompletionStage<Void> start() {
		Context context = this.vertx.getOrCreateContext();
		this.fleet.addListener((snapshot) -> context.runOnContext((ignored) -> closeCarriedByLeaving(snapshot)));
		return CompletableFuture.completedStage(null);
	}

	@Override
	public CompletionStage<Void> stop() {
		this.checkTimer.cancel();
		this.turnTimer.cancel();
		return this.connector.close().toCompletionStage();
	}

	private boolean recordTurn() {
		this.turns.record(this.clock.millis());
		return !this.processes.isEmpty();
	}

	/**
	 * Sets the listener that is called when the last connection to a process has closed.
	 * @param listener is called on the event loop
	 */
	void listen(Consumer<BackendProcess> listener) {
		this.disconnectListener = Objects.requireNonNull(listener, "listener must not be null");
	}

	/**
	 * Returns a connection that no other request uses: the most recently used idle one,
	 * or a new one.
	 * @param server the backend server
	 * @param maxIdle maximum time for which a reused connection may have been idle
	 * @return the connection, or a failure if none could be opened
	 */
	Future<BackendConnection> acquire(BackendServer server, Duration maxIdle) {
		BackendProcess process = server.process();
		ProcessConnections connections = this.processes.get(process);
		BackendConnection reused = (connections != null) ? connections.takeIdle(maxIdle) : null;
		if (reused != null) {
			return Future.succeededFuture(reused);
		}
		return open(server);
	}

	/**
	 * Returns whether this daemon has no path to a backend server, while others have.
	 * @param server the backend server
	 * @return whether its path is lost
	 */
	boolean isPathLost(BackendServerId server) {
		return this.connector.isLost(server);
	}

	/**
	 * Checks the path to a backend server that lets a response wait, unless it sends data
	 * on other connections or was checked lately.
	 * @param server the backend server
	 */
	void checkPath(BackendServer server) {
		if (this.clock.millis() - this.checkedAt.getOrDefault(server.id(), 0L) >= MIN_CHECK_MILLIS) {
			connectUnlessFresh(server);
		}
	}

	private void connectUnlessFresh(BackendServer server) {
		ProcessConnections connections = this.processes.get(server.process());
		boolean fresh = connections != null && connections.hasDataSince(this.clock.millis() - FRESH_DATA_MILLIS);
		if (!fresh) {
			verifyPath(server);
		}
	}

	/**
	 * Finds out whether the path to a backend server is lost, by a new connection.
	 * @param server the backend server
	 * @return completes when {@link #isPathLost} tells; never fails
	 */
	Future<Void> verifyPath(BackendServer server) {
		Future<Void> ongoing = this.checks.get(server.id());
		if (isPathLost(server.id()) || ongoing != null) {
			return (ongoing != null) ? ongoing : Future.succeededFuture();
		}
		this.checkedAt.put(server.id(), this.clock.millis());
		Future<Void> check = open(server).onSuccess((connection) -> release(connection, CHECKED_IDLE_TIME))
			.<Void>mapEmpty()
			.otherwiseEmpty();
		this.checks.put(server.id(), check);
		return check.onComplete((ignored) -> this.checks.remove(server.id()));
	}

	/**
	 * Makes sure that an idle connection to a process is open, and keeps it so. Those
	 * with requests may end with their responses, or be paused.
	 * @param server the backend server
	 */
	void openIdle(BackendServer server) {
		if (reserveIdle(server) == null) {
			verifyPath(server).onComplete((ignored) -> reserveOpened(server));
		}
	}

	/**
	 * Keeps the idle connection to a process open, and opens another one beside it before
	 * the backend server closes it for being idle. Opens none if there is none any more,
	 * as it might lead to the next process.
	 * @param server the backend server
	 */
	void keepIdleOpen(BackendServer server) {
		BackendConnection reserved = reserveIdle(server);
		if (reserved != null && reserved.isReplacementDue(MAX_RESERVED_IDLE.toMillis())) {
			reserved.recordReplacement();
			verifyPath(server).onComplete((ignored) -> replaceReserved(server, reserved));
		}
	}

	// The response may have ended meanwhile.
	private void reserveOpened(BackendServer server) {
		reserveIdle(server);
		endReservation(server.process());
	}

	private void endReservation(BackendProcess process) {
		ProcessConnections connections = this.processes.get(process);
		if (connections != null) {
			connections.endReservation(JUDGEMENT_TIME.toMillis());
		}
	}

	private void replaceReserved(BackendServer server, BackendConnection reserved) {
		reserved.reserve(0);
		if (reserveIdle(server) != reserved) {
			reserved.reserve(JUDGEMENT_TIME.toMillis());
		}
		endReservation(server.process());
	}

	/**
	 * Keeps connections open while an end is judged by them.
	 * @param watched the connections
	 */
	void keepOpenForJudgement(List<BackendConnection> watched) {
		watched.forEach((each) -> each.keepOpen(JUDGEMENT_TIME.toMillis()));
	}

	private @Nullable BackendConnection reserveIdle(BackendServer server) {
		ProcessConnections connections = this.processes.get(server.process());
		return (connections != null) ? connections.reserveIdle(RESERVED_TIME.toMillis()) : null;
	}

	/**
	 * Returns a time at which the process ran whose data is read now.
	 * @return the time, in milliseconds of the clock
	 */
	long aliveAt() {
		return this.turns.aliveAt(this.clock.millis());
	}

	/**
	 * Returns when a connection that is being opened for a check is open.
	 * @param server the backend server
	 * @return completes when it is open or has failed, at once if there is none; never
	 * fails
	 */
	Future<Void> ongoingCheck(BackendServer server) {
		return this.checks.getOrDefault(server.id(), Future.succeededFuture());
	}

	@Override
	public void pathLost(BackendServer server) {
		this.checkTimer.start();
		closeIdle(server.id(), (connection) -> connection.helper() == null);
		long now = this.clock.millis();
		if (now - this.allCheckedAt >= MIN_CHECK_MILLIS) {
			this.allCheckedAt = now;
			List<BackendServer> listed = this.fleet.current().backendServers();
			this.checkedAt.keySet().retainAll(listed.stream().map(BackendServer::id).toList());
			listed.forEach(this::connectUnlessFresh);
		}
	}

	@Override
	public void pathFound(BackendServer server) {
		closeIdle(server.id(), (connection) -> connection.helper() != null);
	}

	private void closeIdle(BackendServerId server, Predicate<BackendConnection> condition) {
		List.copyOf(this.processes.entrySet())
			.stream()
			.filter((entry) -> entry.getKey().server().equals(server))
			.forEach((entry) -> entry.getValue().closeIdle(condition));
	}

	// A daemon that stops waits for the connections that it carries.
	private void closeCarriedByLeaving(FleetSnapshot snapshot) {
		Predicate<BackendConnection> leaving = (connection) -> connection.helper() != null
				&& snapshot.member(connection.helper())
					.filter((member) -> member.status() == MemberStatus.ALIVE)
					.isEmpty();
		List.copyOf(this.processes.values()).forEach((connections) -> connections.closeIdle(leaving));
	}

	/**
	 * Returns whether a daemon carries a connection of this one.
	 * @param helper the daemon
	 * @return whether any connection through it is open
	 */
	boolean isCarriedBy(DaemonId helper) {
		return this.processes.values().stream().anyMatch((connections) -> connections.isCarriedBy(helper));
	}

	private Future<BackendConnection> open(BackendServer server) {
		Instant requestedAt = this.clock.instant();
		return this.connector.connect(server).map((connection) -> opened(server.process(), connection, requestedAt));
	}

	private BackendConnection opened(BackendProcess process, OpenedConnection connection, Instant requestedAt) {
		BackendConnection opened = new BackendConnection(connection, process, this.clock, requestedAt);
		this.processes.computeIfAbsent(process, (key) -> new ProcessConnections()).add(opened);
		connection.http().closeHandler((ignored) -> closed(opened));
		if (this.turnTimer.start()) {
			this.turns.restart(this.clock.millis());
		}
		return opened;
	}

	private void closed(BackendConnection connection) {
		connection.recordClosed();
		ProcessConnections connections = this.processes.get(connection.process());
		if (connections == null) {
			return;
		}
		connections.remove(connection);
		if (connection.isObserved()) {
			endReservation(connection.process());
		}
		if (connections.isEmpty()) {
			this.processes.remove(connection.process());
			this.disconnectListener.accept(connection.process());
		}
	}

	/**
	 * Keeps a connection for a later request, or closes it if enough are idle, or if its
	 * way is no longer the one to take.
	 * @param connection the connection, whose last response is complete
	 * @param idleTime time for which the connection may be kept
	 */
	void release(BackendConnection connection, Duration idleTime) {
		ProcessConnections connections = this.processes.get(connection.process());
		boolean current = (connection.helper() != null) == isPathLost(connection.process().server());
		if (connections == null || !current || !connections.keepIdle(connection, idleTime)) {
			connection.close();
		}
	}

	/**
	 * Returns whether a backend server certainly runs the software version that was
	 * listed. It may have been replaced under its name and address since the list was
	 * read. But if the list was read after a connection had been opened, and that
	 * connection is still open, then the process is one that was listed.
	 * @param server the backend server as listed
	 * @return whether it is certain now
	 */
	boolean isVersionCertain(BackendServer server) {
		ProcessConnections connections = this.processes.get(server.process());
		ListRead read = this.listReads.last();
		return connections != null && connections.oldestOpenedAt().filter(read::beganSince).isPresent()
				&& read.showsVersion(server);
	}

	/**
	 * Waits until it is known whether a connection led to another software version than
	 * the one listed.
	 * @param connection the connection, which may be closed by now
	 * @param server the backend server as listed when the connection was acquired
	 * @return completes on any thread once the list was read after the connection had
	 * been opened, with whether it showed another version; not at all while the list
	 * cannot be read; never fails
	 */
	CompletableFuture<Boolean> isReplaced(BackendConnection connection, BackendServer server) {
		if (isVersionCertain(server)) {
			return CompletableFuture.completedFuture(false);
		}
		return this.listReads.since(connection.openedAt()).thenApply((read) -> read.showsOtherVersion(server));
	}

	/**
	 * Asks for an early read of the list, so that {@link #isReplaced} completes soon.
	 */
	void readListSoon() {
		this.listReads.readSoon();
	}

	/**
	 * Returns the connections to the same process as a broken one: those that are open,
	 * and those that the backend server has closed lately.
	 * @param process the process
	 * @param broken the broken connection, which is left out, or {@code null} if none was
	 * used
	 * @param closedSince earliest time of the latter, in milliseconds of the clock
	 * @return the connections, with their states as they change
	 */
	List<BackendConnection> others(BackendProcess process, @Nullable BackendConnection broken, long closedSince) {
		ProcessConnections connections = this.processes.get(process);
		List<BackendConnection> others = (connections != null) ? connections.known(closedSince) : new ArrayList<>();
		others.remove(broken);
		return others;
	}

}
