package org.sardineport.daemon.relay;

import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.vertx.core.Vertx;
import org.jspecify.annotations.Nullable;
import org.sardineport.core.admission.RequestScheduler;
import org.sardineport.core.backend.BackendProcess;
import org.sardineport.core.backend.BackendServer;
import org.sardineport.core.identity.DaemonId;
import org.sardineport.core.quarantine.CrashEvidence;
import org.sardineport.core.quarantine.Suspect;
import org.sardineport.daemon.telemetry.EventLog;
import org.sardineport.daemon.telemetry.Telemetry;

/**
 * Decides whether the process of a backend server crashed when a connection to it broke,
 * and reports the request that ran on that connection to the scheduler. Connections that
 * this daemon has lost with its path to the backend server are no crash. Confined to the
 * event loop.
 */
final class CrashDetector {

	/** Maximum time within which the connections of a process that crashes close. */
	static final Duration WINDOW = Duration.ofMillis(300);

	private static final EventLog LOG = EventLog.of(CrashDetector.class);

	private final Vertx vertx;

	private final InstantSource clock;

	private final BackendConnections connections;

	private final RequestScheduler scheduler;

	private final Telemetry telemetry;

	/** Decisions that wait for the other connections to a process. */
	private final Map<BackendProcess, List<Runnable>> pending = new HashMap<>();

	private CrashDetector(Vertx vertx, InstantSource clock, BackendConnections connections, RequestScheduler scheduler,
			Telemetry telemetry) {
		this.vertx = vertx;
		this.clock = clock;
		this.connections = connections;
		this.scheduler = scheduler;
		this.telemetry = telemetry;
	}

	/**
	 * Returns a detector.
	 * @param vertx runs timers
	 * @param clock a monotonic clock
	 * @param connections connections to backend servers
	 * @param scheduler receives the crashes
	 * @param telemetry counts breaks that are not taken for crashes
	 * @return the detector
	 */
	static CrashDetector create(Vertx vertx, InstantSource clock, BackendConnections connections,
			RequestScheduler scheduler, Telemetry telemetry) {
		CrashDetector created = new CrashDetector(vertx, clock, connections, scheduler, telemetry);
		connections.listen(created::disconnected);
		return created;
	}

	/**
	 * Handles a connection that broke while a request ran on it. The decision is made
	 * once no connection to the process is open and the path is checked, and after
	 * {@link #WINDOW} at the latest.
	 * @param server the backend server to which the connection was
	 * @param suspects what is to blame if the process crashed
	 * @param broken the connection, or {@code null} if it is not known
	 * @return whether no other connection to the process is open now
	 */
	boolean connectionBroke(BackendServer server, Collection<Suspect> suspects, @Nullable BackendConnection broken) {
		long now = this.clock.millis();
		long brokenAt = (broken != null) ? broken.closedAt(now) : now;
		BackendProcess process = server.process();
		List<BackendConnection> others = this.connections.others(process, broken, brokenAt - WINDOW.toMillis());
		boolean noneOpen = others.stream().allMatch(BackendConnection::isClosedByServer);
		if (broken != null && broken.helper() != null) {
			this.vertx.setTimer(WINDOW.toMillis(),
					(id) -> decideIfCarried(broken.helper(), process, suspects, others, brokenAt));
		}
		else if (noneOpen) {
			decideUnlessPathLost(server, suspects, others, brokenAt);
		}
		else {
			decideLater(process, () -> decideUnlessPathLost(server, suspects, others, brokenAt));
		}
		return noneOpen;
	}

	private void decideLater(BackendProcess process, Runnable decision) {
		List<Runnable> decisions = this.pending.computeIfAbsent(process, (key) -> new ArrayList<>());
		decisions.add(decision);
		this.vertx.setTimer(WINDOW.toMillis(), (id) -> {
			if (decisions.remove(decision)) {
				decision.run();
			}
			if (decisions.isEmpty()) {
				this.pending.remove(process, decisions);
			}
		});
	}

	// All requests that a process ran when it crashed must get their strikes together, as
	// the rules compare them.
	private void disconnected(BackendProcess process) {
		List<Runnable> decisions = this.pending.remove(process);
		if (decisions != null) {
			List<Runnable> due = List.copyOf(decisions);
			decisions.clear();
			due.forEach(Runnable::run);
		}
	}

	// The evidence is taken before the check, which opens a connection.
	private void decideUnlessPathLost(BackendServer server, Collection<Suspect> suspects,
			List<BackendConnection> others, long brokenAt) {
		decide(server.process(), suspects, others, brokenAt, () -> recordCrashUnlessPathLost(server, suspects));
	}

	private void recordCrashUnlessPathLost(BackendServer server, Collection<Suspect> suspects) {
		this.connections.verifyPath(server).onComplete((ignored) -> {
			if (this.connections.isPathLost(server.id())) {
				LOG.info("quarantine.path-lost", "backend-server", server.id());
				this.telemetry.counter("quarantine.path-lost").inc();
			}
			else {
				this.scheduler.recordCrash(server.process(), suspects);
			}
		});
	}

	// A daemon that ends closes all connections that it carries.
	private void decideIfCarried(DaemonId helper, BackendProcess process, Collection<Suspect> suspects,
			List<BackendConnection> others, long brokenAt) {
		if (this.connections.isCarriedBy(helper)) {
			decide(process, suspects, others, brokenAt, () -> this.scheduler.recordCrash(process, suspects));
		}
	}

	private void decide(BackendProcess process, Collection<Suspect> suspects, List<BackendConnection> others,
			long brokenAt, Runnable crashed) {
		int closed = (int) others.stream().filter(BackendConnection::isClosedByServer).count();
		int responding = (int) others.stream().filter((each) -> each.isRespondingSince(brokenAt)).count();
		CrashEvidence evidence = new CrashEvidence(others.size(), closed, responding);
		if (evidence.indicatesCrash()) {
			crashed.run();
			return;
		}
		LOG.info("quarantine.crash-unproven", "suspects", suspects.size(), "backend-server", process.server(),
				"connections", evidence.others(), "closed", evidence.closedByServer(), "responding",
				evidence.responding());
		this.telemetry.counter("quarantine.crash-unproven").inc();
	}

}
