package org.sardineport.daemon.scheduling;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Collection;
import java.util.List;
import java.util.Objects;
import java.util.Queue;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.admission.Permit;
import org.sardineport.core.admission.PermitListener;
import org.sardineport.core.admission.RequestScheduler;
import org.sardineport.core.admission.RunMeasurement;
import org.sardineport.core.admission.SchedulingRequest;
import org.sardineport.core.backend.BackendProcess;
import org.sardineport.core.backend.BackendServer;
import org.sardineport.core.backend.LoadReport;
import org.sardineport.core.capacity.StatedLoad;
import org.sardineport.core.fleet.FleetSnapshot;
import org.sardineport.core.fleet.FleetView;
import org.sardineport.core.identity.RequestId;
import org.sardineport.core.lifecycle.Service;
import org.sardineport.core.limit.StatedLimits;
import org.sardineport.core.port.backend.LoadSource;
import org.sardineport.core.port.backend.ModelEngine;
import org.sardineport.core.port.peer.PeerTransport;
import org.sardineport.core.quarantine.Strike;
import org.sardineport.core.quarantine.StrikeChannel;
import org.sardineport.core.quarantine.StrikeKey;
import org.sardineport.core.quarantine.StrikeReceiver;
import org.sardineport.core.quarantine.Suspect;
import org.sardineport.core.request.Refusal;
import org.sardineport.core.request.RefusalReason;
import org.sardineport.core.rollout.VersionGates;
import org.sardineport.core.routing.ServerState;
import org.sardineport.core.scheduling.EngineAssumptions;
import org.sardineport.core.scheduling.OwnerLookup;
import org.sardineport.core.scheduling.Scheduler;
import org.sardineport.core.scheduling.SchedulingLimits;
import org.sardineport.core.scheduling.SchedulingMessage;
import org.sardineport.daemon.eventloop.EventLoop;
import org.sardineport.daemon.telemetry.EventLog;
import org.sardineport.daemon.telemetry.Telemetry;
import org.sardineport.settings.SchedulingSettings;

/**
 * Runs the {@link Scheduler} on one thread: passes callers' requests, messages of other
 * daemons, changes of the fleet and load reports to it, and carries out its effects. Safe
 * for use by any thread.
 */
public final class SchedulingService implements RequestScheduler, StrikeReceiver, Service {

	private static final int RING_SIZE = 16_384;

	private static final Duration TICK = Duration.ofMillis(25);

	private static final EventLog LOG = EventLog.of(SchedulingService.class);

	private static final Runnable NOTHING = () -> {
	};

	private final FleetView fleet;

	private final PeerTransport transport;

	private final @Nullable LoadSource loadSource;

	private final InstantSource clock;

	private final Telemetry telemetry;

	private final QuarantineReporter quarantine;

	private final Duration loadReportInterval;

	private final boolean learnsCapacity;

	private final CapacityGauges capacities;

	private final Scheduler scheduler;

	private final EventLoop eventLoop;

	private final Queue<Runnable> deferred = new ConcurrentLinkedQueue<>();

	private volatile FleetSnapshot latestSnapshot;

	private volatile List<ServerState> states = List.of();

	private volatile Consumer<LoadReport> loadListener = (report) -> {
	};

	private volatile Consumer<Duration> delayListener = (delay) -> {
	};

	private long loadRequestedAt;

	private SchedulingService(SchedulingSettings settings, EngineAssumptions assumptions, FleetView fleet,
			OwnerLookup ownerLookup, PeerTransport transport, @Nullable LoadSource loadSource, InstantSource clock,
			RandomGenerator random, Telemetry telemetry) {
		this.fleet = Objects.requireNonNull(fleet, "fleet must not be null");
		this.transport = Objects.requireNonNull(transport, "transport must not be null");
		this.loadSource = loadSource;
		this.clock = Objects.requireNonNull(clock, "clock must not be null");
		this.telemetry = Objects.requireNonNull(telemetry, "telemetry must not be null");
		this.quarantine = QuarantineReporter.create(telemetry);
		this.loadReportInterval = settings.loadReportInterval();
		this.learnsCapacity = settings.learnsCapacity();
		this.capacities = CapacityGauges.create(telemetry.registry());
		this.latestSnapshot = fleet.current();
		SchedulingLimits limits = new SchedulingLimits(settings.permitLifetime(), settings.ownerTimeout(),
				settings.maximumWaiting(), assumptions);
		this.scheduler = Scheduler.create(this.latestSnapshot.self(), limits, ownerLookup, clock, random,
				new TransportEffects(() -> this.latestSnapshot, transport, telemetry, this.quarantine));
		this.eventLoop = EventLoop.onDemand("scheduling", RING_SIZE, TICK, this::tick, this::untilTickDue);
	}

	/**
	 * Returns a service that is not started yet. Must be called before the transport
	 * starts, as it registers a message listener.
	 * @param settings limits of scheduling
	 * @param fleet the view of the fleet
	 * @param ownerLookup finds the daemon that owns a backend server
	 * @param transport carries messages to other daemons
	 * @param engine source of load reports
	 * @param clock the clock
	 * @param random source of randomness
	 * @param telemetry counts retries, dropped commands and failed load reports
	 * @return the service
	 */
	public static SchedulingService create(SchedulingSettings settings, FleetView fleet, OwnerLookup ownerLookup,
			PeerTransport transport, ModelEngine engine, InstantSource clock, RandomGenerator random,
			Telemetry telemetry) {
		return withListeners(new SchedulingService(settings, EngineAssumptions.NONE, fleet, ownerLookup, transport,
				engine, clock, random, telemetry));
	}

	/**
	 * Returns a service that is not started yet, for engines without load reports. Must
	 * be called before the transport starts, as it registers a message listener.
	 * @param settings limits of scheduling
	 * @param assumptions assumed properties of the engines
	 * @param fleet the view of the fleet
	 * @param transport carries messages to other daemons
	 * @param clock the clock
	 * @param random source of randomness
	 * @param telemetry counts retries and dropped commands
	 * @return the service
	 */
	public static SchedulingService withoutLoadReports(SchedulingSettings settings, EngineAssumptions assumptions,
			FleetView fleet, PeerTransport transport, InstantSource clock, RandomGenerator random,
			Telemetry telemetry) {
		return withListeners(new SchedulingService(settings, assumptions, fleet, OwnerLookup.rendezvous(), transport,
				null, clock, random, telemetry));
	}

	private static SchedulingService withListeners(SchedulingService created) {
		created.addListeners();
		return created;
	}

	private void addListeners() {
		this.transport.listen(SchedulingMessage.class, (sender, incarnation, address, message) -> {
			if (message instanceof SchedulingMessage scheduling) {
				offer("message", () -> this.scheduler.onMessage(sender, scheduling));
			}
		});
		this.fleet.addListener((snapshot) -> {
			this.latestSnapshot = snapshot;
			offer("fleet", () -> this.scheduler.onFleetSnapshot(snapshot));
		});
	}

	@Override
	public CompletionStage<Void> start() {
		offer("fleet", () -> this.scheduler.onFleetSnapshot(this.latestSnapshot));
		return this.eventLoop.start();
	}

	@Override
	public CompletionStage<Void> stop() {
		return this.eventLoop.stop();
	}

	@Override
	public void submit(SchedulingRequest request, PermitListener listener) {
		Instant offeredAt = this.clock.instant();
		boolean accepted = this.eventLoop.offer(() -> {
			this.delayListener.accept(Duration.between(offeredAt, this.clock.instant()));
			listener.accepted();
			this.scheduler.submit(request, listener);
		});
		if (!accepted) {
			listener.refused(Refusal.retryAfter(RefusalReason.RING_FULL, "the scheduling ring is full", TICK));
		}
	}

	@Override
	public void abandon(RequestId request) {
		offerOrDefer(() -> this.scheduler.abandon(request));
	}

	@Override
	public void release(Permit permit, RunMeasurement measurement) {
		offerOrDefer(() -> this.scheduler.release(permit, measurement));
	}

	@Override
	public void recordStatedLimits(BackendProcess process, StatedLimits limits) {
		offer("stated-limits", () -> this.scheduler.recordStatedLimits(process, limits));
	}

	@Override
	public void recordStatedLoad(BackendProcess process, StatedLoad load) {
		if (this.learnsCapacity) {
			offer("stated-load", () -> this.scheduler.recordStatedLoad(process, load));
		}
	}

	@Override
	public void recordCrash(BackendProcess process, Collection<Suspect> suspects) {
		offerOrDefer(() -> this.scheduler.recordCrash(process, suspects));
	}

	@Override
	public void recordSound(Collection<Suspect> suspects) {
		List<Suspect> relevant = suspects.stream().filter(this::isSoundnessRelevant).toList();
		if (!relevant.isEmpty()) {
			offerOrDefer(() -> this.scheduler.recordSound(relevant));
		}
	}

	// That a request succeeded matters only if there are strikes against it.
	private boolean isSoundnessRelevant(Suspect suspect) {
		return suspect.isPromptPart() || this.quarantine.isStruck(suspect);
	}

	@Override
	public void strikesReceived(Collection<Strike> received) {
		if (!received.isEmpty()) {
			offerOrDefer(() -> this.scheduler.onStrikesReceived(received));
		}
	}

	@Override
	public void strikesWithdrawn(Collection<StrikeKey> withdrawn) {
		if (!withdrawn.isEmpty()) {
			offerOrDefer(() -> this.scheduler.onStrikesWithdrawn(withdrawn));
		}
	}

	/**
	 * Adds a channel to the other daemons. Must be called before the start.
	 * @param channel carries the strikes of this daemon
	 */
	public void addStrikeChannel(StrikeChannel channel) {
		this.quarantine.addChannel(channel);
	}

	/**
	 * Applies new gates for software versions.
	 * @param gates which versions take new work
	 */
	public void applyGates(VersionGates gates) {
		offerOrDefer(() -> this.scheduler.onVersionGates(gates));
	}

	/**
	 * Returns the state of the backend servers that this daemon owns, as of the last
	 * tick.
	 * @return the states; empty before the first tick
	 */
	public List<ServerState> states() {
		return this.states;
	}

	/**
	 * Sets the listener for load reports. Must be called before the start.
	 * @param listener receives each report; must not block
	 */
	public void setLoadListener(Consumer<LoadReport> listener) {
		this.loadListener = Objects.requireNonNull(listener, "listener must not be null");
	}

	/**
	 * Sets the listener for the time that requests waited for the thread of this service.
	 * Must be called before the start.
	 * @param listener receives the time of each request, on that thread; must not block
	 */
	public void setDelayListener(Consumer<Duration> listener) {
		this.delayListener = Objects.requireNonNull(listener, "listener must not be null");
	}

	private void offer(String kind, Runnable command) {
		if (!this.eventLoop.offer(command)) {
			this.telemetry.counter("scheduling.ring-full." + kind).inc();
		}
	}

	/**
	 * Enqueues a command that must not be lost. If the ring is full, the command is
	 * deferred to the next tick. There are never more deferred commands than requests in
	 * flight and strikes received within a tick.
	 * @param command the command
	 */
	private void offerOrDefer(Runnable command) {
		if (!this.eventLoop.offer(command)) {
			this.deferred.add(command);
			// Wakes the event loop if it has emptied the ring meanwhile.
			this.eventLoop.offer(NOTHING);
		}
	}

	private void tick() {
		for (Runnable command = this.deferred.poll(); command != null; command = this.deferred.poll()) {
			command.run();
		}
		this.scheduler.tick();
		this.states = this.scheduler.states();
		if (this.learnsCapacity) {
			this.capacities.update(this.states);
		}
		if (this.scheduler.isPriorityInverted()) {
			this.telemetry.counter("scheduling.top-tier-behind-lower").inc();
			LOG.warn("scheduling.top-tier-behind-lower");
		}
		long now = this.clock.millis();
		if (this.loadSource != null && now - this.loadRequestedAt >= this.loadReportInterval.toMillis()) {
			this.loadRequestedAt = now;
			LoadSource source = this.loadSource;
			this.scheduler.ownedServers().forEach((server) -> requestLoad(source, server));
		}
	}

	private Duration untilTickDue() {
		if (!this.deferred.isEmpty()) {
			return Duration.ZERO;
		}
		Duration untilDue = this.scheduler.untilTickDue();
		if (this.loadSource == null) {
			return untilDue;
		}
		Duration untilLoad = this.loadReportInterval.minusMillis(this.clock.millis() - this.loadRequestedAt);
		return (untilLoad.compareTo(untilDue) < 0) ? untilLoad : untilDue;
	}

	private void requestLoad(LoadSource source, BackendServer server) {
		source.load(server).whenComplete((report, failure) -> {
			if (failure == null) {
				offer("load", () -> this.scheduler.onLoadReport(report));
				this.loadListener.accept(report);
			}
			else {
				this.telemetry.counter("scheduling.load-report-failed").inc();
			}
		});
	}

}
