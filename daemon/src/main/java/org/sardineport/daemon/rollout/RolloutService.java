package org.sardineport.daemon.rollout;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import org.jspecify.annotations.Nullable;
import org.sardineport.core.admission.RunMeasurement;
import org.sardineport.core.backend.BackendServer;
import org.sardineport.core.backend.SoftwareVersion;
import org.sardineport.core.fleet.FleetSnapshot;
import org.sardineport.core.fleet.FleetView;
import org.sardineport.core.identity.DaemonId;
import org.sardineport.core.identity.NetworkAddress;
import org.sardineport.core.identity.PoolName;
import org.sardineport.core.lifecycle.Service;
import org.sardineport.core.port.peer.PeerTransport;
import org.sardineport.core.rollout.ConfirmedVersions;
import org.sardineport.core.rollout.PoolRollout;
import org.sardineport.core.rollout.RolloutAnnouncement;
import org.sardineport.core.rollout.RolloutMessage;
import org.sardineport.core.rollout.RolloutOrder;
import org.sardineport.core.rollout.RolloutOrderListener;
import org.sardineport.core.rollout.RolloutPhase;
import org.sardineport.core.rollout.RolloutReport;
import org.sardineport.core.rollout.RolloutSettings;
import org.sardineport.core.rollout.RolloutStore;
import org.sardineport.core.rollout.StoredRollout;
import org.sardineport.core.rollout.VersionGate;
import org.sardineport.core.rollout.VersionGates;
import org.sardineport.daemon.telemetry.EventLog;
import org.sardineport.daemon.telemetry.Telemetry;

/**
 * Carries out the operators' orders to move a pool to another software version: follows
 * the announcements of each rollout's coordinator, and has the rollout coordinated by
 * {@link RolloutLeadership} if no other daemon does. Without settings no order is
 * followed and every version takes new work. Confined to the event loop, except for the
 * methods of {@link RolloutOrderListener}. A timer runs only while a rollout is under
 * way.
 */
public final class RolloutService implements RolloutOrderListener, RolloutFollower, Service {

	private static final EventLog LOG = EventLog.of(RolloutService.class);

	private static final Duration TICK = Duration.ofMillis(100);

	/** Reports of this daemon to itself are of one run. */
	private static final long OWN_INCARNATION = 0;

	private final Vertx vertx;

	private final Context context;

	private final @Nullable RolloutSettings settings;

	private final FleetView fleet;

	private final PeerTransport transport;

	private final RolloutStore store;

	private final Consumer<VersionGates> gateListener;

	private final InstantSource clock;

	private final RandomGenerator random;

	private final Telemetry telemetry;

	private final ConfirmedVersions versions = ConfirmedVersions.create();

	private final VersionCounts inFlight = new VersionCounts();

	private final Map<PoolName, PoolRollout> rollouts = new HashMap<>();

	private final RolloutLeadership lead;

	private final Map<DaemonId, NetworkAddress> addresses = new HashMap<>();

	private VersionGates gates = VersionGates.NONE;

	private boolean ordersKnown;

	private long timer = -1;

	private RolloutService(Vertx vertx, @Nullable RolloutSettings settings, FleetView fleet, PeerTransport transport,
			RolloutStore store, Consumer<VersionGates> gateListener, InstantSource clock, RandomGenerator random,
			Telemetry telemetry) {
		this.vertx = Objects.requireNonNull(vertx, "vertx must not be null");
		this.context = vertx.getOrCreateContext();
		this.settings = settings;
		this.fleet = Objects.requireNonNull(fleet, "fleet must not be null");
		this.transport = Objects.requireNonNull(transport, "transport must not be null");
		this.store = Objects.requireNonNull(store, "store must not be null");
		this.gateListener = Objects.requireNonNull(gateListener, "gateListener must not be null");
		this.clock = Objects.requireNonNull(clock, "clock must not be null");
		this.random = Objects.requireNonNull(random, "random must not be null");
		this.telemetry = Objects.requireNonNull(telemetry, "telemetry must not be null");
		this.lead = new RolloutLeadership(this, settings, fleet, transport, store, clock, telemetry, this::onContext);
	}

	/**
	 * Returns a service that is not started yet. Must be called before the transport
	 * starts, as it registers a message listener.
	 * @param vertx runs the service on its event loop
	 * @param settings limits of the deployment; {@code null} if it has no rollouts
	 * @param fleet the view of the fleet
	 * @param transport carries messages to other daemons
	 * @param store holds the states that operators read
	 * @param gateListener receives the gates of software versions after each change
	 * @param clock a monotonic clock
	 * @param random draws the sample
	 * @param telemetry counts steps and messages
	 * @return the service
	 */
	public static RolloutService create(Vertx vertx, @Nullable RolloutSettings settings, FleetView fleet,
			PeerTransport transport, RolloutStore store, Consumer<VersionGates> gateListener, InstantSource clock,
			RandomGenerator random, Telemetry telemetry) {
		RolloutService created = new RolloutService(vertx, settings, fleet, transport, store, gateListener, clock,
				random, telemetry);
		if (settings != null) {
			created.addListeners();
		}
		return created;
	}

	private void addListeners() {
		this.transport.listen(RolloutMessage.class, (sender, incarnation, address, message) -> {
			if (message instanceof RolloutMessage received) {
				onContext(() -> received(sender, incarnation, address, received));
			}
		});
		this.fleet.addListener((snapshot) -> onContext(() -> listed(snapshot)));
	}

	private void onContext(Runnable command) {
		this.context.runOnContext((ignored) -> command.run());
	}

	@Override
	public CompletionStage<Void> start() {
		return CompletableFuture.completedStage(null);
	}

	@Override
	public CompletionStage<Void> stop() {
		onContext(this::stopTimer);
		return CompletableFuture.completedStage(null);
	}

	@Override
	public void ordered(RolloutOrder order) {
		if (this.settings != null) {
			onContext(() -> begin(order));
		}
	}

	@Override
	public void withdrawn(PoolName pool) {
		if (this.settings != null) {
			onContext(() -> withdraw(pool));
		}
	}

	@Override
	public void ordersRead() {
		if (this.settings != null) {
			onContext(() -> {
				this.ordersKnown = true;
				this.versions.ordersRead();
				publishGates();
			});
		}
	}

	private void begin(RolloutOrder order) {
		PoolName pool = order.pool();
		PoolRollout known = this.rollouts.get(pool);
		if (known != null && known.order().revision() >= order.revision()) {
			return;
		}
		this.lead.forget(pool);
		this.rollouts.put(pool, PoolRollout.create(order, this.versions.versions(pool),
				this.inFlight.others(pool, order.target()), this.random, now()));
		this.telemetry.counter("rollout.orders").inc();
		LOG.info("rollout.ordered", "pool", pool, "target", order.target(), "duration-ms", order.duration().toMillis(),
				"revision", order.revision(), "listed", this.versions.versions(pool));
		publishGates();
		startTimer();
		if (!this.ordersKnown) {
			readStored(pool);
		}
	}

	private void withdraw(PoolName pool) {
		PoolRollout rollout = this.rollouts.get(pool);
		if (rollout != null && !rollout.isOver()) {
			LOG.info("rollout.withdrawn", "pool", pool, "target", rollout.order().target());
			this.lead.withdraw(pool);
		}
	}

	// Orders that were there at the start may be over.
	private void readStored(PoolName pool) {
		this.store.read(pool).whenComplete((stored, failure) -> onContext(() -> {
			PoolRollout rollout = this.rollouts.get(pool);
			if (failure == null && rollout != null) {
				followStored(rollout, stored);
			}
		}));
	}

	@Override
	public boolean followStored(PoolRollout rollout, StoredRollout stored) {
		RolloutPhase phase = stored.finalPhase(rollout.order());
		if (phase == null) {
			return false;
		}
		rollout.ended(phase, now());
		LOG.info("rollout.ended", "pool", rollout.order().pool(), "target", rollout.order().target(), "state",
				phase.label());
		publishGates();
		return true;
	}

	@Override
	public @Nullable PoolRollout rollout(PoolName pool) {
		return this.rollouts.get(pool);
	}

	private void received(DaemonId sender, long incarnation, NetworkAddress address, RolloutMessage message) {
		PoolRollout rollout = this.rollouts.get(message.pool());
		if (rollout == null) {
			return;
		}
		if (message instanceof RolloutAnnouncement announcement) {
			this.addresses.put(sender, address);
			follow(rollout, sender, announcement);
		}
		else if (message instanceof RolloutReport report) {
			this.lead.received(sender, incarnation, report);
		}
	}

	@Override
	public void follow(PoolRollout rollout, DaemonId sender, RolloutAnnouncement announcement) {
		PoolName pool = announcement.pool();
		this.lead.yieldTo(sender, announcement, rollout.order());
		RolloutPhase before = rollout.phase();
		if (!rollout.follow(sender, announcement, now())) {
			return;
		}
		if (rollout.phase() != before) {
			LOG.info("rollout.step", "pool", pool, "phase", rollout.phase().label(), "coordinator", sender, "term",
					announcement.stage().term(), "others-in-flight", rollout.othersInFlight());
		}
		publishGates();
		reportIfDue(rollout);
	}

	private void listed(FleetSnapshot snapshot) {
		this.versions.listed(snapshot.backendServers());
		this.rollouts.forEach((pool, rollout) -> rollout.listed(this.versions.versions(pool)));
		publishGates();
	}

	private void publishGates() {
		Instant now = now();
		Set<PoolName> pools = new HashSet<>(this.versions.pools());
		pools.addAll(this.rollouts.keySet());
		Map<PoolName, VersionGate> next = new HashMap<>();
		for (PoolName pool : pools) {
			PoolRollout rollout = this.rollouts.get(pool);
			VersionGate gate = (rollout != null) ? rollout.gate(now)
					: VersionGate.OPEN.closedFor(this.versions.unconfirmed(pool));
			if (!gate.equals(VersionGate.OPEN)) {
				next.put(pool, gate);
			}
		}
		if (!next.equals(this.gates.gates())) {
			this.gates = new VersionGates(next);
			this.gateListener.accept(this.gates);
		}
	}

	private void startTimer() {
		if (this.timer < 0) {
			this.timer = this.vertx.setPeriodic(TICK.toMillis(), (id) -> tick());
		}
	}

	private void stopTimer() {
		this.vertx.cancelTimer(this.timer);
		this.timer = -1;
	}

	private void tick() {
		Instant now = now();
		for (PoolRollout rollout : new ArrayList<>(this.rollouts.values())) {
			tick(rollout, now);
		}
		publishGates();
		if (this.lead.isIdle() && this.rollouts.values().stream().allMatch((rollout) -> rollout.isSettled(now))) {
			stopTimer();
		}
	}

	private void tick(PoolRollout rollout, Instant now) {
		PoolName pool = rollout.order().pool();
		if (this.lead.leads(pool)) {
			reportIfDue(rollout);
			this.lead.tick(pool, now);
		}
		else if (rollout.isCoordinatorMissing(now, this.lead.patience(pool))) {
			this.lead.claim(rollout);
		}
		else {
			reportIfDue(rollout);
		}
	}

	private void reportIfDue(PoolRollout rollout) {
		Instant now = now();
		DaemonId coordinator = rollout.coordinator();
		if (coordinator == null || !rollout.isReportDue(now)) {
			return;
		}
		RolloutReport report = rollout.report(now);
		if (coordinator.equals(this.fleet.current().self())) {
			this.lead.received(coordinator, OWN_INCARNATION, report);
			return;
		}
		NetworkAddress address = this.addresses.get(coordinator);
		if (address != null) {
			this.transport.send(address, report);
		}
	}

	/**
	 * Draws whether a new request belongs to the sample of a rollout. Must be called on
	 * the event loop.
	 * @param pool the pool of the request
	 * @return the version that it should be bound to, or empty if it is not in a sample
	 */
	public Optional<SoftwareVersion> sample(PoolName pool) {
		PoolRollout rollout = this.rollouts.get(pool);
		return (rollout != null) ? rollout.sample(now()) : Optional.empty();
	}

	/**
	 * Returns whether a backend server takes a request now. Must be called on the event
	 * loop.
	 * @param server the backend server
	 * @param required software version that the request is bound to, or {@code null}
	 * @return whether the gate of its pool is open
	 */
	public boolean takes(BackendServer server, @Nullable SoftwareVersion required) {
		return this.gates.of(server.pool()).takes(server.softwareVersion(), required);
	}

	/**
	 * Records that a request is sent to a backend server. Must be called on the event
	 * loop, once for each time.
	 * @param server the backend server
	 */
	public void dispatched(BackendServer server) {
		this.inFlight.increment(server);
		ifFollowed(server, (rollout, version) -> rollout.dispatched(version));
	}

	/**
	 * Records the first data of a stream. Must be called on the event loop.
	 * @param server the backend server
	 * @param route name of the request's route
	 * @param time time since the request was sent
	 */
	public void firstData(BackendServer server, String route, Duration time) {
		ifFollowed(server, (rollout, version) -> rollout.firstData(version, route, time));
	}

	/**
	 * Records that a request has left a backend server. Must be called on the event loop,
	 * once for each {@link #dispatched}.
	 * @param server the backend server
	 * @param route name of the request's route
	 * @param measurement how it ended
	 */
	public void ended(BackendServer server, String route, RunMeasurement measurement) {
		this.inFlight.decrement(server);
		ifFollowed(server, (rollout, version) -> rollout.ended(version, route, measurement));
	}

	private void ifFollowed(BackendServer server, BiConsumer<PoolRollout, SoftwareVersion> action) {
		PoolRollout rollout = this.rollouts.get(server.pool());
		if (rollout != null && !rollout.isOver()) {
			action.accept(rollout, server.softwareVersion());
		}
	}

	private Instant now() {
		return this.clock.instant();
	}

}
