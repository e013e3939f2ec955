package org.sardineport.daemon.rollout;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.backend.BackendServer;
import org.sardineport.core.fleet.FleetSnapshot;
import org.sardineport.core.fleet.FleetView;
import org.sardineport.core.fleet.Member;
import org.sardineport.core.fleet.MemberStatus;
import org.sardineport.core.identity.DaemonId;
import org.sardineport.core.identity.PoolName;
import org.sardineport.core.ownership.Ownership;
import org.sardineport.core.port.peer.PeerTransport;
import org.sardineport.core.rollout.FleetFacts;
import org.sardineport.core.rollout.PoolRollout;
import org.sardineport.core.rollout.RolloutAnnouncement;
import org.sardineport.core.rollout.RolloutCoordinator;
import org.sardineport.core.rollout.RolloutOrder;
import org.sardineport.core.rollout.RolloutPhase;
import org.sardineport.core.rollout.RolloutReport;
import org.sardineport.core.rollout.RolloutSettings;
import org.sardineport.core.rollout.RolloutState;
import org.sardineport.core.rollout.RolloutStatus;
import org.sardineport.core.rollout.RolloutStep;
import org.sardineport.core.rollout.RolloutStore;
import org.sardineport.core.rollout.RolloutTiming;
import org.sardineport.core.rollout.StoredRollout;
import org.sardineport.daemon.telemetry.EventLog;
import org.sardineport.daemon.telemetry.Telemetry;

/**
 * Coordinates the rollouts that this daemon has claimed: decides the steps, announces
 * them, and stores the end. Hands a rollout over to a daemon with a later claim. Confined
 * to the event loop.
 */
final class RolloutLeadership {

	private static final EventLog LOG = EventLog.of(RolloutLeadership.class);

	/** Number of silences after which daemons that are far down in line take over. */
	private static final int MAX_PATIENCE = 6;

	private final RolloutFollower follower;

	private final @Nullable RolloutSettings settings;

	private final FleetView fleet;

	private final PeerTransport transport;

	private final RolloutStore store;

	private final InstantSource clock;

	private final Telemetry telemetry;

	private final Consumer<Runnable> commands;

	private final Map<PoolName, RolloutLead> leads = new HashMap<>();

	private final Map<PoolName, Long> awaitedTerms = new HashMap<>();

	private final Set<PoolName> claiming = new HashSet<>();

	private final Set<PoolName> withdrawn = new HashSet<>();

	/**
	 * Creates it without a claim.
	 * @param follower what this daemon does in each rollout
	 * @param settings limits of the deployment; {@code null} if it has no rollouts
	 * @param fleet the view of the fleet
	 * @param transport carries messages to other daemons
	 * @param store holds the states that operators read
	 * @param clock a monotonic clock
	 * @param telemetry counts steps
	 * @param commands runs commands on the event loop
	 */
	RolloutLeadership(RolloutFollower follower, @Nullable RolloutSettings settings, FleetView fleet,
			PeerTransport transport, RolloutStore store, InstantSource clock, Telemetry telemetry,
			Consumer<Runnable> commands) {
		this.follower = follower;
		this.settings = settings;
		this.fleet = fleet;
		this.transport = transport;
		this.store = store;
		this.clock = clock;
		this.telemetry = telemetry;
		this.commands = commands;
	}

	boolean isIdle() {
		return this.leads.isEmpty();
	}

	boolean leads(PoolName pool) {
		return this.leads.containsKey(pool);
	}

	/**
	 * Forgets what belongs to the former order of a pool.
	 * @param pool the pool
	 */
	void forget(PoolName pool) {
		this.leads.remove(pool);
		this.awaitedTerms.remove(pool);
		this.withdrawn.remove(pool);
	}

	void withdraw(PoolName pool) {
		this.withdrawn.add(pool);
	}

	/**
	 * Receives a daemon's report, if this daemon coordinates its rollout.
	 * @param sender the daemon
	 * @param incarnation number of its run
	 * @param report the report
	 */
	void received(DaemonId sender, long incarnation, RolloutReport report) {
		RolloutLead lead = this.leads.get(report.pool());
		if (lead != null) {
			lead.coordinator().received(sender, incarnation, report, now());
		}
	}

	/**
	 * Hands a rollout over if another daemon announces by a later claim.
	 * @param sender the daemon that announces
	 * @param announcement the announcement
	 * @param order the order that this daemon follows
	 */
	void yieldTo(DaemonId sender, RolloutAnnouncement announcement, RolloutOrder order) {
		RolloutLead lead = this.leads.get(announcement.pool());
		boolean isOther = !sender.equals(this.fleet.current().self());
		if (lead != null && isOther && announcement.stage().revision() == order.revision()
				&& announcement.stage().term() > lead.coordinator().stage().term()) {
			LOG.info("rollout.handed-over", "pool", announcement.pool(), "to", sender);
			this.leads.remove(announcement.pool());
		}
	}

	/**
	 * Returns after how many silences of a coordinator this daemon claims a rollout.
	 * @param pool the pool
	 * @return the number, by which daemons claim one after the other
	 */
	int patience(PoolName pool) {
		FleetSnapshot current = this.fleet.current();
		List<Member> ranking = Ownership.ranking("rollout/" + pool.value(), current.members());
		for (int i = 0; i < ranking.size() && i < MAX_PATIENCE; i++) {
			if (ranking.get(i).id().equals(current.self())) {
				return i;
			}
		}
		return MAX_PATIENCE;
	}

	/**
	 * Becomes the coordinator of a rollout, unless another daemon has claimed it.
	 * @param rollout the rollout
	 */
	void claim(PoolRollout rollout) {
		RolloutOrder order = rollout.order();
		PoolName pool = order.pool();
		if (!this.claiming.add(pool)) {
			return;
		}
		this.store.read(pool)
			.thenCompose((stored) -> claim(rollout, stored))
			.whenComplete((term, failure) -> this.commands.accept(() -> {
				this.claiming.remove(pool);
				if (this.follower.rollout(pool) != rollout || rollout.isOver()) {
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
		this.commands.accept(() -> {
			if (this.follower.followStored(rollout, stored) || isAwaited(rollout.order(), stored)) {
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

	/**
	 * Takes the step that is due in a rollout that this daemon coordinates.
	 * @param pool the pool
	 * @param now the current time
	 */
	void tick(PoolName pool, Instant now) {
		RolloutLead lead = this.leads.get(pool);
		if (lead != null) {
			tick(lead, pool, now);
		}
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
		PoolRollout rollout = this.follower.rollout(coordinator.order().pool());
		if (rollout == null) {
			return;
		}
		lead.announced(now);
		RolloutAnnouncement announcement = new RolloutAnnouncement(coordinator.order().pool(), coordinator.stage(),
				rollout.age(now), interval());
		FleetSnapshot current = this.fleet.current();
		this.follower.follow(rollout, current.self(), announcement);
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
		}).whenComplete((phase, failure) -> this.commands.accept(() -> stored(lead, phase, failure)));
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
		PoolRollout rollout = this.follower.rollout(coordinator.order().pool());
		LOG.info(isComplete ? "rollout.completed" : "rollout.rolled-back", "pool", coordinator.order().pool(), "target",
				coordinator.order().target(), "reason", coordinator.reason(), "age-ms",
				(rollout != null) ? rollout.age(now()).toMillis() : -1, "target-requests", coordinator.targetSent(),
				"requests", coordinator.sent());
	}

	private Instant now() {
		return this.clock.instant();
	}

}
