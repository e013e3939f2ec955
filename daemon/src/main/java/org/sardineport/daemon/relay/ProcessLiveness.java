package org.sardineport.daemon.relay;

import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.concurrent.TimeUnit;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import org.sardineport.core.backend.BackendProcess;
import org.sardineport.core.backend.BackendServer;
import org.sardineport.core.exchange.ResponseEnd;
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

	/**
	 * Maximum time for which a connection is waited for that is being opened when a
	 * response ends.
	 */
	private static final Duration OPENING_WINDOW = Duration.ofMillis(300);

	/**
	 * Maximum time that the end of a response waits. Longer than a lost packet, which may
	 * be the end of another connection, takes to be sent again.
	 */
	private static final Duration WINDOW = CrashDetector.WINDOW;

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
	 * @param connection the connection of the response
	 */
	void observe(BackendServer server, BackendConnection connection) {
		if (connection.isObserved()) {
			this.connections.keepIdleOpen(server);
		}
		else {
			this.connections.openIdle(server);
			connection.recordObserved(this.connections.aliveAt());
		}
	}

	/**
	 * Finds out how a response ended whose connection has ended. Waits for a connection
	 * that is being opened to the process, and then for a sign of life, which may be that
	 * the other connections stay open.
	 * @param server the backend server
	 * @param ended the connection
	 * @return how it ended; never fails
	 */
	Future<ResponseEnd> endOf(BackendServer server, BackendConnection ended) {
		if (ended.helper() != null) {
			return Future.succeededFuture(ResponseEnd.CLOSED_BY_HELPER);
		}
		long endedAt = ended.closedAt(this.clock.millis());
		return this.connections.ongoingCheck(server)
			.timeout(OPENING_WINDOW.toMillis(), TimeUnit.MILLISECONDS)
			.otherwiseEmpty()
			.compose((ignored) -> lookAtOthers(server.process(), ended, endedAt));
	}

	private Future<ResponseEnd> lookAtOthers(BackendProcess process, BackendConnection ended, long endedAt) {
		List<BackendConnection> others = this.connections
			.others(process, ended, endedAt - CrashDetector.WINDOW.toMillis())
			.stream()
			.filter((each) -> ended.isOfSameProcess(each) && isOpenedInTime(each, endedAt))
			.toList();
		this.connections.keepOpenForJudgement(others);
		Promise<ResponseEnd> result = Promise.promise();
		look(new ProcessWatch(process, others, this.clock.millis(), WINDOW), result);
		return result.future();
	}

	// One that took longer to open may have been accepted by the next process.
	private static boolean isOpenedInTime(BackendConnection other, long endedAt) {
		return other.openedAt().toEpochMilli() <= endedAt + OPENING_WINDOW.toMillis();
	}

	private void look(ProcessWatch watch, Promise<ResponseEnd> result) {
		ResponseEnd end = watch.look(this.clock.millis());
		if (end == null) {
			this.vertx.setTimer(LOOK_INTERVAL.toMillis(), (id) -> look(watch, result));
			return;
		}
		watch.log(end, this.clock.millis());
		this.telemetry.counter("responses.ended." + end.label()).inc();
		result.complete(end);
	}

}
