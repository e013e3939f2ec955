package org.sardineport.daemon.relay;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.concurrent.TimeUnit;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import org.sardineport.core.backend.BackendProcess;
import org.sardineport.core.backend.BackendServer;
import org.sardineport.core.exchange.ResponseEnd;
import org.sardineport.core.quarantine.CrashEvidence;
import org.sardineport.daemon.telemetry.EventLog;
import org.sardineport.daemon.telemetry.Telemetry;

/**
 * Finds out whether the process of a backend server goes on after one of its connections
 * has ended, from connections that were open before or were just being opened. One that
 * is opened later would prove nothing, as a proxy or the next process accepts it, too.
 * Confined to the event loop.
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
	 * Keeps a connection to the process open beside those of responses which end with
	 * their connections. Called with each part of such a response, as connections that
	 * stay idle are closed.
	 * @param server the backend server that sends the response
	 * @param connection the connection that ends with the response
	 */
	void observe(BackendServer server, BackendConnection connection) {
		connection.recordEndedByResponse();
		this.connections.keepLastingOpen(server);
	}

	/**
	 * Finds out how a response ended whose connection has ended.
	 * @param server the backend server
	 * @param ended the connection
	 * @return how it ended, within twice {@link CrashDetector#WINDOW}; never fails
	 */
	Future<ResponseEnd> endOf(BackendServer server, BackendConnection ended) {
		if (ended.helper() != null) {
			return Future.succeededFuture(ResponseEnd.CLOSED_BY_HELPER);
		}
		long endedAt = ended.closedAt(this.clock.millis());
		return this.connections.ongoingCheck(server)
			.timeout(CrashDetector.WINDOW.toMillis(), TimeUnit.MILLISECONDS)
			.otherwiseEmpty()
			.compose((ignored) -> lookAtOthers(server.process(), ended, endedAt));
	}

	private Future<ResponseEnd> lookAtOthers(BackendProcess process, BackendConnection ended, long endedAt) {
		long now = this.clock.millis();
		List<BackendConnection> others = lastingOthers(process, ended, endedAt);
		Promise<ResponseEnd> result = Promise.promise();
		look(process, others, now, result);
		return result.future();
	}

	// A live process closes those that end with their responses, too. One that was opened
	// later may lead to the next process.
	private List<BackendConnection> lastingOthers(BackendProcess process, BackendConnection ended, long endedAt) {
		long window = CrashDetector.WINDOW.toMillis();
		Instant latestOpening = Instant.ofEpochMilli(endedAt + window);
		return this.connections.others(process, ended, endedAt - window)
			.stream()
			.filter((each) -> !each.isEndedByResponse() && !each.openedAt().isAfter(latestOpening))
			.toList();
	}

	private void look(BackendProcess process, List<BackendConnection> others, long since, Promise<ResponseEnd> result) {
		CrashEvidence evidence = CrashDetector.evidence(others, since);
		boolean over = this.clock.millis() - since >= CrashDetector.WINDOW.toMillis();
		if (over || evidence.responding() > 0 || evidence.closedByServer() == evidence.others()) {
			decide(process, evidence, this.clock.millis() - since, result);
		}
		else {
			this.vertx.setTimer(LOOK_INTERVAL.toMillis(), (id) -> look(process, others, since, result));
		}
	}

	private void decide(BackendProcess process, CrashEvidence evidence, long afterMillis, Promise<ResponseEnd> result) {
		ResponseEnd end = evidence.indicatesCrash() ? ResponseEnd.CLOSED : ResponseEnd.CLOSED_BY_LIVE_PROCESS;
		LOG.info("response.ended-by-close", "backend-server", process.server(), "end", end.label(), "connections",
				evidence.others(), "closed", evidence.closedByServer(), "responding", evidence.responding(),
				"decided-after-ms", afterMillis);
		this.telemetry.counter("responses.ended." + end.label()).inc();
		result.complete(end);
	}

}
