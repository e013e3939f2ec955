package org.sardineport.daemon;

import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicBoolean;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import org.jspecify.annotations.Nullable;
import org.sardineport.core.exchange.AdmissionCheck;
import org.sardineport.core.exchange.RetryBudget;
import org.sardineport.core.journal.IdempotencyKeys;
import org.sardineport.core.lifecycle.Service;
import org.sardineport.core.lifecycle.ServiceSequence;
import org.sardineport.core.port.peer.PeerTransport;
import org.sardineport.core.scheduling.OwnerLookup;
import org.sardineport.core.stop.StopTiming;
import org.sardineport.daemon.configuration.ConfigurationService;
import org.sardineport.daemon.engine.HttpModelEngine;
import org.sardineport.daemon.exchange.DurableTakeover;
import org.sardineport.daemon.exchange.RequestRunner;
import org.sardineport.daemon.exchange.RunServices;
import org.sardineport.daemon.fleet.FleetService;
import org.sardineport.daemon.fleet.TransportCounters;
import org.sardineport.daemon.http.CallerServer;
import org.sardineport.daemon.http.CallerServices;
import org.sardineport.daemon.http.ContextExecutor;
import org.sardineport.daemon.http.OperatorServer;
import org.sardineport.daemon.http.OperatorServices;
import org.sardineport.daemon.http.Readiness;
import org.sardineport.daemon.journal.JournalService;
import org.sardineport.daemon.platform.HttpLogService;
import org.sardineport.daemon.platform.HttpVmList;
import org.sardineport.daemon.scheduling.SchedulingService;
import org.sardineport.daemon.stop.StopCoordinator;
import org.sardineport.daemon.telemetry.EventLog;
import org.sardineport.daemon.telemetry.Telemetry;
import org.sardineport.settings.DaemonSettings;
import org.sardineport.settings.profile.ProfileReader;
import org.sardineport.wire.configuration.ConfigurationPeerCodec;
import org.sardineport.wire.scheduling.SchedulingCodec;
import org.sardineport.wire.transport.MembershipCodec;
import org.sardineport.wire.transport.NettyPeerTransport;
import org.sardineport.wire.transport.PeerIdentity;

/**
 * One daemon with all its services, which are started and stopped together. Several
 * daemons can run in one process.
 */
public final class SardineportDaemon implements Service {

	private static final EventLog LOG = EventLog.of(SardineportDaemon.class);

	private final DaemonSettings settings;

	private final Vertx vertx;

	private final Readiness readiness;

	private final DaemonStopActions stopActions;

	private final StopCoordinator stop;

	private final AtomicBoolean closing = new AtomicBoolean();

	private final CompletableFuture<Void> stopped = new CompletableFuture<>();

	private final ServiceSequence services;

	private SardineportDaemon(DaemonSettings settings, InstantSource clock) {
		this.settings = Objects.requireNonNull(settings, "settings must not be null");
		this.vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(2).setWorkerPoolSize(1));
		long incarnation = clock.instant().toEpochMilli();
		Telemetry telemetry = Telemetry.create();
		PeerTransport transport = transport(settings, incarnation, clock, telemetry);
		HttpVmList vmList = HttpVmList.create(this.vertx, settings.platform().vmList(), settings.platform().timeout());
		FleetService fleet = FleetService.create(settings, incarnation, transport, vmList, clock, telemetry);
		HttpLogService log = HttpLogService.create(this.vertx, settings.platform().logService(),
				settings.platform().timeout());
		ConfigurationService configuration = ConfigurationService.create(settings.configuration(),
				ProfileReader.create(), log, fleet, transport, clock, telemetry);
		JournalService journal = JournalService.create(settings.fleet(), settings.daemon(), incarnation,
				settings.journal(), log, fleet, clock, telemetry);
		HttpModelEngine engines = HttpModelEngine.create(this.vertx, clock);
		SchedulingService scheduling = SchedulingService.create(settings.scheduling(), fleet, OwnerLookup.rendezvous(),
				transport, engines, clock, new SplittableRandom(incarnation), telemetry);
		scheduling.setLoadListener(fleet::reported);
		fleet.setStrikeReceiver(scheduling);
		scheduling.addStrikeChannel(fleet);
		RunServices runs = RunServices.create(scheduling, journal, engines, clock, telemetry, RetryBudget.create(),
				settings.journal().maximumAnswerBytes());
		RequestRunner runner = RequestRunner.create(runs, settings.callers().maximumInFlight());
		journal.runner(DurableTakeover.create(runner, runs, fleet, () -> ContextExecutor.create(this.vertx)));
		CallerServer callers = CallerServer.create(this.vertx, settings.callerAddress(),
				new CallerServices(settings.callers(),
						AdmissionCheck.create(IdempotencyKeys.of(settings.journal().replayWindow())), configuration,
						fleet::hasReadList, fleet, journal, runner, clock, telemetry));
		fleet.reportFrom(new DaemonReport(configuration, fleet, callers::inFlight));
		Readiness readiness = () -> readinessBlockers(configuration.isReady(), journal.isReady(), fleet.hasReadList());
		this.readiness = readiness;
		OperatorServer operators = OperatorServer.create(this.vertx, settings.operatorAddress(),
				settings.operatorToken(),
				new OperatorServices(configuration, fleet, readiness, callers::inFlight, telemetry));
		this.services = ServiceSequence.of(List.of(transport, log, vmList, engines, fleet, configuration, journal,
				scheduling, callers, operators));
		this.stopActions = new DaemonStopActions(fleet, configuration, callers, runner, journal::stop);
		this.stop = StopCoordinator.create(stopTiming(settings), this.stopActions, clock, telemetry);
	}

	/**
	 * Creates a daemon without starting it. The clock's current time in milliseconds
	 * becomes its incarnation, so it must be later than at any earlier start under the
	 * same name.
	 * @param settings the settings
	 * @param clock the clock of all services
	 * @return the daemon
	 */
	public static SardineportDaemon create(DaemonSettings settings, InstantSource clock) {
		return new SardineportDaemon(settings, clock);
	}

	@Override
	public CompletionStage<Void> start() {
		return this.services.start().thenRun(() -> {
			this.stopActions.markStarted();
			LOG.info("daemon.started", "daemon", this.settings.daemon(), "failure-domain",
					this.settings.failureDomain(), "callers", this.settings.callerAddress());
		});
	}

	/**
	 * Returns whether the configuration, the journal and the list of backend servers have
	 * been read, so that the daemon serves callers.
	 * @return whether the daemon is ready
	 */
	public boolean isReady() {
		return this.readiness.blockers().isEmpty();
	}

	/**
	 * Performs a planned stop: announces it, serves callers that still use the address
	 * for the linger time, then refuses new requests and waits for the requests in
	 * flight, at most until the stop limit if one is set. Repeated calls wait for the
	 * first one.
	 * @return completes when all services have stopped
	 */
	@Override
	public CompletionStage<Void> stop() {
		return this.stop.request().thenCompose((ignored) -> closeServices());
	}

	private CompletionStage<Void> closeServices() {
		if (this.closing.compareAndSet(false, true)) {
			this.services.stop()
				.thenCompose((ignored) -> this.vertx.close().toCompletionStage())
				.whenComplete((ignored, failure) -> onServicesStopped(failure));
		}
		return this.stopped.copy();
	}

	private void onServicesStopped(@Nullable Throwable failure) {
		if (failure != null) {
			LOG.error("daemon.stop-failed", failure, "daemon", this.settings.daemon());
			this.stopped.completeExceptionally(failure);
			return;
		}
		LOG.info("daemon.stopped", "daemon", this.settings.daemon());
		this.stopped.complete(null);
	}

	private static StopTiming stopTiming(DaemonSettings settings) {
		Duration detectionBound = FleetService.timing(settings.membership()).detectionBound();
		return StopTiming.withMinimumLinger(settings.stop().linger(), settings.stop().limit(),
				settings.callers().keepTime(), detectionBound);
	}

	private static List<String> readinessBlockers(boolean configurationReady, boolean journalReady,
			boolean backendsListed) {
		List<String> blockers = new ArrayList<>();
		if (!configurationReady) {
			blockers.add("The configuration is being read.");
		}
		if (!journalReady) {
			blockers.add("The journal is being read.");
		}
		if (!backendsListed) {
			blockers.add("The list of backend servers is being read.");
		}
		return blockers;
	}

	private static PeerTransport transport(DaemonSettings settings, long incarnation, InstantSource clock,
			Telemetry telemetry) {
		PeerIdentity identity = new PeerIdentity(settings.fleet(), settings.daemon(), incarnation,
				settings.peerAddress(), settings.peerKeys());
		return NettyPeerTransport.create(identity,
				List.of(MembershipCodec.create(), SchedulingCodec.create(), ConfigurationPeerCodec.create()), clock,
				TransportCounters.create(telemetry));
	}

}
