package org.sardineport.daemon.rollout;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
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
import org.sardineport.core.fleet.Member;
import org.sardineport.core.fleet.MemberStatus;
import org.sardineport.core.identity.DaemonId;
import org.sardineport.core.identity.NetworkAddress;
import org.sardineport.core.identity.PoolName;
import org.sardineport.core.lifecycle.Service;
import org.sardineport.core.ownership.Ownership;
import org.sardineport.core.port.peer.PeerTransport;
import org.sardineport.core.rollout.ConfirmedVersions;
import org.sardineport.core.rollout.FleetFacts;
import org.sardineport.core.rollout.PoolRollout;
import org.sardineport.core.rollout.RolloutAnnouncement;
import org.sardineport.core.rollout.RolloutCoordinator;
import org.sardineport.core.rollout.RolloutMessage;
import org.sardineport.core.rollout.RolloutOrder;
import org.sardineport.core.rollout.RolloutOrderListener;
import org.sardineport.core.rollout.RolloutPhase;
import org.sardineport.core.rollout.RolloutReport;
import org.sardineport.core.rollout.RolloutSettings;
import org.sardineport.core.rollout.RolloutState;
import org.sardineport.core.rollout.RolloutStatus;
import org.sardineport.core.rollout.RolloutStep;
import org.sardineport.core.rollout.RolloutStore;
import org.sardineport.core.rollout.RolloutTiming;
import org.sardineport.core.rollout.StoredRollout;
import org.sardineport.core.rollout.VersionGate;
import org.sardineport.core.rollout.VersionGates;
import org.sardineport.daemon.telemetry.EventLog;
import org.sardineport.daemon.telemetry.Telemetry;

/**
 * Carries out the operators' orders to move a pool to another software version: follows
 * the announcements of each rollout's coordinator, and coordinates the rollout if no
 * other daemon does. Without settings no order is followed and every version takes new
 * work. Confined to the event loop, except for the methods of
 * {@link RolloutOrderListener}. A timer runs only while a rollout is under way.
 */
public final class RolloutService implements RolloutOrderListener, Service {

	private static final EventLog LOG = EventLog.of(RolloutService.class);

	private static final Duration TICK = Duration.ofMillis(100);

	/** Reports of this daemon to itself are of one run. */
	private static final long OWN_INCARNATION = 0;

	/** Number of silences after which daemons that are far down in line take over. */
	private static final int MAX_PATIENCE = 6;

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

	private final Map<PoolName, RolloutLead> leads = new HashMap<>();

	private final Map<DaemonId, NetworkAddress> addresses = new HashMap<>();

	private final Map<PoolName, Long> awaitedTerms = new HashMap<>();

	private final Set<PoolName> claiming = new HashSet<>();

	private final Set<PoolName> withdrawn = new HashSet<>();

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
		this.leads.remove(pool);
		this.awaitedTerms.remove(pool);
		this.withdrawn.remove(pool);
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
			this.withdrawn.add(pool);
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

	private boolean followStored(PoolRollout rollout, StoredRollout stored) {
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
			RolloutLead lead = this.leads.get(report.pool());
			if (lead != null) {
				lead.coordinator().received(sender, incarnation, report, now());
			}
		}
	}

	private void follow(PoolRollout rollout, DaemonId sender, RolloutAnnouncement announcement) {
		PoolName pool = announcement.pool();
		RolloutLead lead = this.leads.get(pool);
		boolean isOther = !sender.equals(this.fleet.current().self());
		if (lead != null && isOther && announcement.stage().revision() == rollout.order().revision()
				&& announcement.stage().term() > lead.coordinator().stage().term()) {
			LOG.info("rollout.handed-over", "pool", pool, "to", sender);
			this.leads.remove(pool);
		}
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
		if (this.leads.isEmpty() && this.rollouts.values().stream().allMatch((rollout) -> rollout.isSettled(now))) {
			stopTimer();
		}
	}

	private void tick(PoolRollout rollout, Instant now) {
		PoolName pool = rollout.order().pool();
		RolloutLead lead = this.leads.get(pool);
		if (lead != null) {
			reportIfDue(rollout);
			tick(lead, pool, now);
		}
		else if (rollout.isCoordinatorMissing(now, patience(pool))) {
			claim(rollout);
		}
		else {
			reportIfDue(rollout);
		}
	}

	private int patience(PoolName pool) {
		FleetSnapshot current = this.fleet.current();
		List<Member> ranking = Ownership.ranking("rollout/" + pool.value(), current.members());
		for (int i = 0; i < ranking.size() && i < MAX_PATIENCE; i++) {
			if (ranking.get(i).id().equals(current.self())) {
				return i;
			}
		}
		return MAX_PATIENCE;
	}

	private void reportIfDue(PoolRollout rollout) {
		Instant now = now();
		DaemonId coordinator = rollout.coordinator();
		if (coordinator == null || !rollout.isReportDue(now)) {
			return;
		}
		RolloutReport report = rollout.report(now);
		if (coordinator.equals(this.fleet.current().self())) {
			RolloutLead lead = this.leads.get(report.pool());
			if (lead != null) {
				lead.coordinator().received(coordinator, OWN_INCARNATION, report, now);
			}
			return;
		}
		NetworkAddress address = this.addresses.get(coordinator);
		if (address != null) {
			this.transport.send(address, report);
		}
	}

	private void claim(PoolRollout rollout) {
		RolloutOrder order = rollout.order();
		PoolName pool = order.pool();
		if (!this.claiming.add(pool)) {
			return;
		}
		this.store.read(pool)
			.thenCompose((stored) -> claim(rollout, stored))
			.whenComplete((term, failure) -> onContext(() -> {
				this.claiming.remove(pool);
				if (this.rollouts.get(pool) != rollout || rollout.isOver()) {
					return;
				}
				if (failure != null || term == null) {
					rollout.awaitCoordinator(now());
				}
				else {
					lead(rollout, term);
				}
			}));
	}

	private CompletionStage<@Nullable Long> claim(PoolRollout rollout, StoredRollout stored) {
		CompletableFuture<@Nullable Long> claimed = new CompletableFuture<>();
		onContext(() -> {
			if (followStored(rollout, stored) || isAwaited(rollout.order(), stored)) {
				claimed.complete(null);
				return;
			}
			this.store.append(RolloutStatus.of(rollout.order(), RolloutState.RUNNING), stored.next())
				.whenComplete((ignored, failure) -> {
					if (failure == null) {
						claimed.complete(stored.nextTerm());
					}
					else {
						claimed.completeExceptionally(failure);
					}
				});
		});
		return claimed;
	}

	// Another daemon may have claimed the rollout and not be heard yet.
	private boolean isAwaited(RolloutOrder order, StoredRollout stored) {
		RolloutStatus status = stored.status();
		if (status == null || status.revision() != order.revision()) {
			return false;
		}
		Long awaited = this.awaitedTerms.put(order.pool(), stored.term());
		return awaited == null || awaited != stored.term();
	}

	private void lead(PoolRollout rollout, long term) {
		RolloutSettings limits = Objects.requireNonNull(this.settings, "settings must not be null");
		Instant now = now();
		RolloutCoordinator coordinator = RolloutCoordinator.create(rollout.order(), limits, term, rollout.phase(),
				rollout.age(now), now);
		RolloutLead lead = new RolloutLead(coordinator);
		this.leads.put(rollout.order().pool(), lead);
		this.telemetry.counter("rollout.claims").inc();
		LOG.info("rollout.claimed", "pool", rollout.order().pool(), "term", term, "phase", rollout.phase().label(),
				"age-ms", rollout.age(now).toMillis());
		announce(lead, now);
	}

	private void tick(RolloutLead lead, PoolName pool, Instant now) {
		RolloutCoordinator coordinator = lead.coordinator();
		if (lead.isOver(now)) {
			this.leads.remove(pool);
			return;
		}
		if (lead.isCompleting()) {
			storeIfDue(lead, RolloutState.COMPLETE, now);
			announceIfDue(lead, now);
			return;
		}
		RolloutStep step = this.withdrawn.remove(pool) ? coordinator.withdrawn()
				: coordinator.tick(facts(coordinator.order()), now);
		if (step == RolloutStep.ANNOUNCE || step == RolloutStep.ROLL_BACK) {
			logStep(coordinator);
			lead.stepTaken();
		}
		if (step == RolloutStep.COMPLETE) {
			lead.completing();
			storeIfDue(lead, RolloutState.COMPLETE, now);
		}
		else if (coordinator.stage().phase() == RolloutPhase.ROLLED_BACK) {
			storeIfDue(lead, RolloutState.ROLLED_BACK, now);
		}
		announceIfDue(lead, now);
	}

	private void storeIfDue(RolloutLead lead, RolloutState state, Instant now) {
		if (!lead.isStored() && lead.mayStore(now)) {
			store(lead, state);
		}
	}

	private void announceIfDue(RolloutLead lead, Instant now) {
		if (lead.isAnnouncementDue(interval(), now)) {
			announce(lead, now);
		}
	}

	private Duration interval() {
		return RolloutTiming.interval(this.fleet.current().members().size());
	}

	private void logStep(RolloutCoordinator coordinator) {
		this.telemetry.counter("rollout.steps").inc();
		LOG.info("rollout.judged", "pool", coordinator.order().pool(), "target", coordinator.order().target(), "phase",
				coordinator.stage().phase().label(), "share", coordinator.stage().share(), "servers",
				coordinator.stage().servers(), "reason", coordinator.reason(), "target-requests",
				coordinator.targetSent(), "requests", coordinator.sent());
	}

	private FleetFacts facts(RolloutOrder order) {
		FleetSnapshot current = this.fleet.current();
		int targetSlots = 0;
		int targetServers = 0;
		int otherSlots = 0;
		for (BackendServer server : current.pool(order.pool())) {
			if (server.softwareVersion().equals(order.target())) {
				targetSlots += server.nominalConcurrency();
				targetServers++;
			}
			else {
				otherSlots += server.nominalConcurrency();
			}
		}
		Set<DaemonId> members = new HashSet<>();
		current.members()
			.stream()
			.filter((member) -> member.status() == MemberStatus.ALIVE || member.status() == MemberStatus.LEAVING)
			.forEach((member) -> members.add(member.id()));
		return new FleetFacts(targetSlots, targetServers, otherSlots, members);
	}

	private void announce(RolloutLead lead, Instant now) {
		RolloutCoordinator coordinator = lead.coordinator();
		PoolRollout rollout = this.rollouts.get(coordinator.order().pool());
		if (rollout == null) {
			return;
		}
		lead.announced(now);
		RolloutAnnouncement announcement = new RolloutAnnouncement(coordinator.order().pool(), coordinator.stage(),
				rollout.age(now), interval());
		FleetSnapshot current = this.fleet.current();
		follow(rollout, current.self(), announcement);
		current.members()
			.stream()
			.filter((member) -> !member.id().equals(current.self()) && member.status() != MemberStatus.DEAD)
			.forEach((member) -> this.transport.send(member.peerAddress(), announcement));
	}

	private void store(RolloutLead lead, RolloutState state) {
		RolloutCoordinator coordinator = lead.coordinator();
		RolloutOrder order = coordinator.order();
		lead.storing(now());
		this.store.read(order.pool()).thenCompose((stored) -> {
			RolloutPhase ended = stored.finalPhase(order);
			if (ended != null) {
				return CompletableFuture.completedStage(ended);
			}
			if (stored.term() != coordinator.stage().term()) {
				return CompletableFuture.completedStage((RolloutPhase) null);
			}
			return this.store.append(RolloutStatus.of(order, state), stored.next())
				.thenApply((ignored) -> state.phase());
		}).whenComplete((phase, failure) -> onContext(() -> stored(lead, phase, failure)));
	}

	private void stored(RolloutLead lead, @Nullable RolloutPhase phase, @Nullable Throwable failure) {
		RolloutCoordinator coordinator = lead.coordinator();
		PoolName pool = coordinator.order().pool();
		if (this.leads.get(pool) != lead) {
			return;
		}
		if (failure != null) {
			lead.storingFailed();
			LOG.warn("rollout.not-stored", "pool", pool, "cause", failure.getMessage());
			if (lead.isStoreLost() && coordinator.stage().phase() == RolloutPhase.FULL) {
				this.leads.remove(pool);
			}
			return;
		}
		if (phase == null) {
			LOG.info("rollout.handed-over", "pool", pool, "to", "a later claim");
			this.leads.remove(pool);
			return;
		}
		lead.stored(now());
		coordinator.ended(phase);
		lead.stepTaken();
		logEnd(coordinator, phase);
		announce(lead, now());
	}

	private void logEnd(RolloutCoordinator coordinator, RolloutPhase phase) {
		boolean isComplete = phase == RolloutPhase.COMPLETE;
		this.telemetry.counter(isComplete ? "rollout.completed" : "rollout.rolled-back").inc();
		PoolRollout rollout = this.rollouts.get(coordinator.order().pool());
		LOG.info(isComplete ? "rollout.completed" : "rollout.rolled-back", "pool", coordinator.order().pool(), "target",
				coordinator.order().target(), "reason", coordinator.reason(), "age-ms",
				(rollout != null) ? rollout.age(now()).toMillis() : -1, "target-requests", coordinator.targetSent(),
				"requests", coordinator.sent());
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
