package org.sardineport.daemon.relay;

import java.time.InstantSource;
import java.util.List;
import java.util.Objects;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;

import io.vertx.core.Vertx;
import org.sardineport.core.identity.RequestId;
import org.sardineport.core.lifecycle.Service;
import org.sardineport.core.lifecycle.ServiceSequence;
import org.sardineport.core.limit.ConcurrencyPolicy;
import org.sardineport.core.relay.BackendPaths;
import org.sardineport.core.relay.CallerMemory;
import org.sardineport.core.relay.ClockPair;
import org.sardineport.core.relay.ConfigurationInForce;
import org.sardineport.core.relay.ConfirmedEnds;
import org.sardineport.core.relay.FleetRetryBudget;
import org.sardineport.core.relay.ReadPacing;
import org.sardineport.core.relay.RelayAdmissionCheck;
import org.sardineport.core.relay.RetryDelays;
import org.sardineport.core.scheduling.EngineAssumptions;
import org.sardineport.daemon.fleet.FleetService;
import org.sardineport.daemon.fleet.FleetSettings;
import org.sardineport.daemon.fleet.TransportCounters;
import org.sardineport.daemon.http.Readiness;
import org.sardineport.daemon.rollout.RolloutService;
import org.sardineport.daemon.scheduling.SchedulingService;
import org.sardineport.daemon.stop.StopCoordinator;
import org.sardineport.daemon.stream.StreamOriginService;
import org.sardineport.daemon.telemetry.EventLog;
import org.sardineport.daemon.telemetry.Telemetry;
import org.sardineport.daemon.tunnel.TunnelServer;
import org.sardineport.settings.SchedulingSettings;
import org.sardineport.wire.rollout.RolloutCodec;
import org.sardineport.wire.scheduling.SchedulingCodec;
import org.sardineport.wire.stream.StreamOriginCodec;
import org.sardineport.wire.transport.MembershipCodec;
import org.sardineport.wire.transport.NettyPeerTransport;
import org.sardineport.wire.transport.PeerIdentity;
import org.sardineport.wire.transport.PeerTokens;

/**
 * Daemon that forwards requests; starts and stops its parts together. It has the
 * membership, scheduling and planned stop of every daemon, but no journal, as no request
 * carries an idempotency key.
 */
public final class RelayDaemon implements Service {

	private static final EventLog LOG = EventLog.of(RelayDaemon.class);

	/**
	 * Engines admit as many requests as they have slots, and do not report cached tokens.
	 */
	private static final EngineAssumptions ASSUMPTIONS = new EngineAssumptions(ConcurrencyPolicy.NOMINAL, true, 0, 0);

	/** The same with a learned concurrency. */
	private static final EngineAssumptions LEARNED = new EngineAssumptions(ConcurrencyPolicy.LEARNED, true, 0, 0);

	private final FleetSettings fleetSettings;

	private final StopCoordinator stop;

	private final RelayReadiness readiness;

	private final ServiceSequence services;

	private final AtomicBoolean serviceStopRequested = new AtomicBoolean();

	private final CompletableFuture<Void> servicesStopped = new CompletableFuture<>();

	private RelayDaemon(Vertx vertx, RelaySettings settings, RelayFleet membership, RelayPorts ports,
			SchedulingSettings schedulingSettings, InstantSource clock, ClockPair clockPair) {
		this.fleetSettings = membership.settings();
		SplittableRandom random = new SplittableRandom(membership.incarnation());
		Telemetry telemetry = Telemetry.create();
		PeerIdentity identity = new PeerIdentity(membership.name(), this.fleetSettings.daemon(),
				membership.incarnation(), this.fleetSettings.peerAddress(), List.of(membership.key()));
		NettyPeerTransport transport = NettyPeerTransport.create(identity, List.of(MembershipCodec.create(),
				SchedulingCodec.create(), StreamOriginCodec.create(), RolloutCodec.create()), clock,
				TransportCounters.create(telemetry));
		FleetService fleet = FleetService.create(this.fleetSettings, membership.incarnation(), transport,
				ports.vmList(), clock, telemetry);
		SchedulingService scheduling = SchedulingService.withoutLoadReports(schedulingSettings,
				(schedulingSettings.learnsCapacity()) ? LEARNED : ASSUMPTIONS, fleet, transport, clock, random.split(),
				telemetry);
		StreamOriginService origins = StreamOriginService.create(fleet, fleet.listReads(), ports.origins(), transport,
				clock, random.split(), telemetry);
		RolloutService rollouts = RolloutService.create(vertx, settings.rollouts(), fleet, transport, ports.rollouts(),
				scheduling::applyGates, clock, random.split(), telemetry);
		fleet.setStrikeReceiver(scheduling);
		scheduling.addStrikeChannel(fleet);
		scheduling.addStrikeChannel(ports.strikes());
		ports.strikes().listen(scheduling);
		ConfigurationInForce inForce = ConfigurationInForce.create(settings.proofLifetime(), clockPair);
		ports.configuration().listenOrders(rollouts);
		ports.configuration()
			.listen(new ConfigurationWatch(inForce, telemetry),
					() -> ReadPacing.configurationWait(fleet.current().members().size()));
		BooleanSupplier backendsKnown = () -> !fleet.current().backendServers().isEmpty();
		BackendPaths paths = BackendPaths.create(random.split());
		PeerTokens tokens = PeerTokens.create(identity, clock);
		BackendConnector connector = BackendConnector.create(vertx, clock, fleet, paths, tokens, telemetry);
		BackendConnections connections = BackendConnections.create(vertx, clock, connector, fleet, fleet.listReads());
		TunnelServer tunnels = TunnelServer.create(vertx, identity.address(), tokens, fleet, paths::isLost, telemetry);
		OverloadMeter overload = OverloadMeter.create(clock, random.split(), telemetry);
		scheduling.setDelayListener(overload::scheduled);
		AtomicLong idCounter = new AtomicLong();
		String idPrefix = this.fleetSettings.daemon().value() + "-" + membership.incarnation() + "-";
		CallerMemory callerMemory = CallerMemory.ofMaximum(settings.callerCapacity().memoryBytes());
		RelayServices relayServices = new RelayServices(vertx, ports.protocol(),
				RelayAdmissionCheck.create(inForce, backendsKnown), inForce, scheduling, fleet, connections,
				CrashDetector.create(vertx, clock, connections, scheduling, telemetry), settings.limitTolerance(),
				FleetRetryBudget.of(settings.retryRatio(), settings.retrySlack(), settings.retryWindow()), clock,
				random, RetryDelays.create(random), () -> RequestId.of(idPrefix + idCounter.incrementAndGet()),
				telemetry, origins, StatedLimitsRecorder.create(scheduling, telemetry),
				BackendNotices.create(fleet, clock, telemetry), callerMemory, settings.progressLimit(),
				StopAdmission.create(clock), ProcessLiveness.create(vertx, clock, connections, telemetry),
				ConfirmedEnds.create(), rollouts, overload, LoopPasses.create(vertx, clock));
		IncompleteHeads incompleteHeads = new IncompleteHeads(callerMemory, clock);
		RelayServer server = new RelayServer(relayServices, settings.callerAddress(),
				settings.callerCapacity().connections(), incompleteHeads);
		this.readiness = new RelayReadiness(inForce, backendsKnown, () -> fleet.current().members().size());
		RelayEndpoints endpoints = new RelayEndpoints(vertx, settings, ports.protocol(), fleet, random.split(),
				this.readiness, telemetry, incompleteHeads, clock);
		fleet.reportFrom(this.readiness);
		this.services = ServiceSequence.of(List.of(server, ports.configuration(), ports.strikes(), transport, tunnels,
				fleet, origins, scheduling, connections, rollouts, endpoints));
		this.stop = StopCoordinator.create(settings.stop(),
				new RelayStopActions(fleet, server, tunnels, this.readiness, settings.stop(), clock), clock, telemetry);
	}

	/**
	 * Returns a daemon that is not started yet.
	 * @param vertx performs input and output, on one event loop
	 * @param settings settings of the forwarding daemon
	 * @param membership its membership in the fleet
	 * @param ports interfaces of the platform
	 * @param schedulingSettings limits of scheduling
	 * @param clock a monotonic clock
	 * @param clockPair the monotonic clock and the time of day, read together
	 * @return the daemon
	 */
	public static RelayDaemon create(Vertx vertx, RelaySettings settings, RelayFleet membership, RelayPorts ports,
			SchedulingSettings schedulingSettings, InstantSource clock, ClockPair clockPair) {
		Objects.requireNonNull(vertx, "vertx must not be null");
		return new RelayDaemon(vertx, settings, membership, ports, schedulingSettings, clock, clockPair);
	}

	@Override
	public CompletionStage<Void> start() {
		return this.services.start()
			.thenRun(() -> LOG.info("daemon.started", "daemon", this.fleetSettings.daemon(), "failure-domain",
					this.fleetSettings.failureDomain(), "callers", this.fleetSettings.callerAddress()));
	}

	/**
	 * Returns the readiness of the daemon to serve callers.
	 * @return a view that reflects the current state
	 */
	public Readiness readiness() {
		return this.readiness;
	}

	/**
	 * Performs a planned stop: withdraws this daemon's address from callers, serves those
	 * that still use it, then refuses new requests, and stops all parts after the
	 * requests in flight.
	 * @return completes when all parts have stopped
	 */
	@Override
	public CompletionStage<Void> stop() {
		return this.stop.request().thenCompose((ignored) -> stopServices());
	}

	private CompletionStage<Void> stopServices() {
		if (this.serviceStopRequested.compareAndSet(false, true)) {
			this.services.stop().whenComplete((ignored, failure) -> {
				LOG.info("daemon.stopped", "daemon", this.fleetSettings.daemon(), "failure", failure);
				this.servicesStopped.complete(null);
			});
		}
		return this.servicesStopped.copy();
	}

}
