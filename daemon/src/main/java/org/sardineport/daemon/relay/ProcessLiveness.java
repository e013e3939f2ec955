package org.sardineport.daemon.relay;

import java.time.Duration;
import java.time.InstantSource;
import java.util.List;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import org.sardineport.core.backend.BackendProcess;
import org.sardineport.core.backend.BackendServer;
import org.sardineport.core.exchange.ResponseEnd;
import org.sardineport.daemon.telemetry.EventLog;
import org.sardineport.daemon.telemetry.Telemetry;

/**
 * Finds out whether the process of a backend server goes on after one of its connections
 * has ended, from connections that were open before. A new connection would prove
 * nothing, as a proxy or the next process accepts it, too. Confined to the event loop.
 */
final class ProcessLiveness {

	/** Interval between two looks at the connections of a process. */
	private static final Duration LOOK_INTERVAL = Duration.ofMillis(20);

	private static final EventLog LOG = EventLog.of(ProcessLiveness.class);

	private final Vertx vertx;

	private final InstantSource clock;

	private final BackendConnections connections;

	private final Telemetry telemetry;

	private ProcessLiveness(Vertx vertx, InstantSource clock, BackendConnections connections, Telemetry telemetry) {
		this.vertx = vertx;
		this.clock = clock;
		this.connections = connections;
		this.telemetry = telemetry;
	}

	/**
	 * Returns a source of liveness.
	 * @param vertx runs timers
	 * @param clock a monotonic clock
	 * @param connections connections to backend servers
	 * @param telemetry counts the results
	 * @return the source
	 */
	static ProcessLiveness create(Vertx vertx, InstantSource clock, BackendConnections connections,
			Telemetry telemetry) {
		return new ProcessLiveness(vertx, clock, connections, telemetry);
	}

	/**
	 * Keeps a connection to the process open beside that of a response which ends with
	 * its connection. Called with each part of such a response, as connections that stay
	 * idle are closed.
	 * @param server the backend server that sends the response
	 */
	void observe(BackendServer server) {
		this.connections.keepIdleOpen(server);
	}

	/**
	 * Finds out how a response ended whose connection has ended.
	 * @param server the backend server
	 * @param ended the connection
	 * @return how it ended, within {@link CrashDetector#WINDOW} after a connection that
	 * is being opened; never fails
	 */
	Future<ResponseEnd> endOf(BackendServer server, BackendConnection ended) {
		if (ended.helper() != null) {
			return Future.succeededFuture(ResponseEnd.CLOSED_BY_HELPER);
		}
		return this.connections.ongoingCheck(server).compose((ignored) -> lookAtOthers(server.process(), ended));
	}

	private Future<ResponseEnd> lookAtOthers(BackendProcess process, BackendConnection ended) {
		long now = this.clock.millis();
		long window = CrashDetector.WINDOW.toMillis();
		List<BackendConnection> others = this.connections.others(process, ended, ended.closedAt(now) - window);
		Promise<ResponseEnd> result = Promise.promise();
		look(process, others, now, result);
		return result.future();
	}

	private void look(BackendProcess process, List<BackendConnection> others, long since, Promise<ResponseEnd> result) {
		boolean over = this.clock.millis() - since >= CrashDetector.WINDOW.toMillis();
		boolean answered = others.stream().anyMatch((each) -> each.hasAnsweredSince(since));
		long watched = others.stream().filter((each) -> each.isWatchedSince(since)).count();
		if (over || answered || watched == 0) {
			decide(process, others, answered, watched, this.clock.millis() - since, result);
		}
		else {
			this.vertx.setTimer(LOOK_INTERVAL.toMillis(), (id) -> look(process, others, since, result));
		}
	}

	// Other responses that end with their connections may end at the same time, so that
	// a closed connection alone is no sign of a crash. Data that comes now may have been
	// sent before, unless it answers a later request.
	private void decide(BackendProcess process, List<BackendConnection> others, boolean answered, long watched,
			long afterMillis, Promise<ResponseEnd> result) {
		ResponseEnd end = (answered || watched > 0) ? ResponseEnd.CLOSED_BY_LIVE_PROCESS : ResponseEnd.CLOSED;
		long closed = others.stream().filter(BackendConnection::isClosedByServer).count();
		LOG.info("response.ended-by-close", "backend-server", process.server(), "end", end.label(), "connections",
				others.size(), "closed", closed, "watched", watched, "answered", answered, "decided-after-ms",
				afterMillis);
		this.telemetry.counter("responses.ended." + end.label()).inc();
		result.complete(end);
	}

}
