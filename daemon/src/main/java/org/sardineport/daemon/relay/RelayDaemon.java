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
import org.sardineport.core.limit.Concurrency;
import org.sardineport.core.relay.ClockPair;
import org.sardineport.core.relay.ConfigurationInForce;
import org.sardineport.core.relay.ReadPacing;
import org.sardineport.core.relay.RelayGate;
import org.sardineport.core.relay.RetryAllowance;
import org.sardineport.core.relay.ReturnTimes;
import org.sardineport.core.scheduling.EngineAssumptions;
import org.sardineport.daemon.fleet.FleetDuty;
import org.sardineport.daemon.fleet.FleetSettings;
import org.sardineport.daemon.fleet.TransportCounters;
import org.sardineport.daemon.http.Readiness;
import org.sardineport.daemon.scheduling.SchedulingDuty;
import org.sardineport.daemon.stop.StopDuty;
import org.sardineport.daemon.telemetry.EventLog;
import org.sardineport.daemon.telemetry.Telemetry;
import org.sardineport.settings.SchedulingSettings;
import org.sardineport.wire.scheduling.SchedulingCodec;
import org.sardineport.wire.transport.MembershipCodec;
import org.sardineport.wire.transport.NettyPeerTransport;
import org.sardineport.wire.transport.PeerIdentity;

/**
 * A daemon that forwards requests: its parts, started and stopped together. It has the
 * fleet, scheduling and planned stop of every daemon, and no journal, as no request
 * carries an idempotency key.
 */
public final class RelayDaemon implements Service {

	private static final EventLog LOG = EventLog.of(RelayDaemon.class);

	/**
	 * Engines admit as many requests as they have slots, and do not report cached tokens.
	 */
	private static final EngineAssumptions ASSUMPTIONS = new EngineAssumptions(Concurrency.NOMINAL, true, 0, 0);

	private final FleetSettings place;

	private final StopDuty stop;

	private final RelayReadiness readiness;

	private final ServiceSequence services;

	private final AtomicBoolean released = new AtomicBoolean();

	private final CompletableFuture<Void> ended = new CompletableFuture<>();

	private RelayDaemon(Vertx vertx, RelaySettings settings, RelayFleet joined, RelayPorts ports,
			SchedulingSettings limits, InstantSource clock, ClockPair clocks) {
		this.place = joined.place();
		SplittableRandom random = new SplittableRandom(joined.incarnation());
		Telemetry telemetry = Telemetry.create();
		PeerIdentity identity = new PeerIdentity(joined.name(), this.place.daemon(), joined.incarnation(),
				this.place.peerAddress(), List.of(joined.key()));
		NettyPeerTransport transport = NettyPeerTransport.create(identity,
				List.of(MembershipCodec.create(), SchedulingCodec.create()), clock,
				TransportCounters.create(telemetry));
		FleetDuty fleet = FleetDuty.create(this.place, joined.incarnation(), transport, ports.vmList(), clock,
				telemetry);
		SchedulingDuty scheduling = SchedulingDuty.withoutLoadReports(limits, ASSUMPTIONS, fleet, transport, clock,
				random.split(), telemetry);
		fleet.exchangeStrikes(scheduling);
		ConfigurationInForce inForce = ConfigurationInForce.create(settings.proofLifetime(), clocks);
		ports.configuration()
			.listen(new ConfigurationWatch(inForce, telemetry),
					() -> ReadPacing.configurationWait(fleet.current().members().size()));
		BooleanSupplier backendsKnown = () -> !fleet.current().backendServers().isEmpty();
		BackendConnections connections = BackendConnections.create(vertx, clock);
		AtomicLong attempts = new AtomicLong();
		String prefix = this.place.daemon().value() + "-" + joined.incarnation() + "-";
		RelayServices parts = new RelayServices(vertx, ports.protocol(), RelayGate.create(inForce, backendsKnown),
				inForce, scheduling, fleet, connections, settings.limitTolerance(),
				RetryAllowance.of(settings.retryRatio(), settings.retrySlack(), settings.retryWindow()), clock, random,
				ReturnTimes.create(random), () -> RequestId.of(prefix + attempts.incrementAndGet()), telemetry);
		RelayServer server = new RelayServer(parts, settings.callerAddress());
		this.readiness = new RelayReadiness(inForce, backendsKnown);
		RelayEndpoints endpoints = new RelayEndpoints(vertx, settings, ports.protocol(), fleet, random.split(),
				this.readiness, telemetry);
		fleet.reportFrom(this.readiness);
		this.services = ServiceSequence
			.of(List.of(server, ports.configuration(), transport, fleet, scheduling, connections, endpoints));
		this.stop = StopDuty.create(settings.stop(), new RelayStopActions(fleet, server, this.readiness), clock,
				telemetry);
	}

	/**
	 * Returns a daemon that is not started yet.
	 * @param vertx carries input and output, on one event loop
	 * @param settings settings of forwarding
	 * @param joined its place in the fleet
	 * @param ports the platform
	 * @param limits limits of scheduling
	 * @param clock a steady clock
	 * @param clocks the steady clock and the time of day
	 * @return the daemon
	 */
	public static RelayDaemon create(Vertx vertx, RelaySettings settings, RelayFleet joined, RelayPorts ports,
			SchedulingSettings limits, InstantSource clock, ClockPair clocks) {
		Objects.requireNonNull(vertx, "vertx must not be null");
		return new RelayDaemon(vertx, settings, joined, ports, limits, clock, clocks);
	}

	@Override
	public CompletionStage<Void> start() {
		return this.services.start()
			.thenRun(() -> LOG.info("daemon.started", "daemon", this.place.daemon(), "failure-domain",
					this.place.failureDomain(), "callers", this.place.callerAddress()));
	}

	/**
	 * Returns whether the daemon serves callers.
	 * @return what is asked for
	 */
	public Readiness readiness() {
		return this.readiness;
	}

	/**
	 * Stops in a planned way: is not named to callers any more, serves those that still
	 * come, then refuses new requests, and ends after the work in flight.
	 * @return completes when nothing is left running
	 */
	@Override
	public CompletionStage<Void> stop() {
		return this.stop.request().thenCompose((ignored) -> release());
	}

	private CompletionStage<Void> release() {
		if (this.released.compareAndSet(false, true)) {
			this.services.stop().whenComplete((ignored, failure) -> {
				LOG.info("daemon.stopped", "daemon", this.place.daemon(), "failure", failure);
				this.ended.complete(null);
			});
		}
		return this.ended.copy();
	}

}
