package org.sardineport.core.rollout;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;

import org.sardineport.core.admission.RunEnd;
import org.sardineport.core.admission.RunMeasurement;
import org.sardineport.core.backend.SoftwareVersion;
import org.sardineport.core.identity.DaemonId;
import org.sardineport.core.identity.PoolName;

/**
 * One rollout in virtual time: daemons that follow a coordinator and send requests to two
 * versions of a pool. Messages arrive at once.
 */
final class RolloutFixture {

	static final SoftwareVersion OLD = SoftwareVersion.of("v1");

	static final SoftwareVersion TARGET = SoftwareVersion.of("v2");

	static final RolloutSettings SETTINGS = new RolloutSettings(0.1, 50, Duration.ofSeconds(5));

	static final List<RouteModel> ROUTES = List.of(new RouteModel("long", 0.2, 250, 300, 5, 0.01),
			new RouteModel("chat", 0.45, 60, 150, 5, 0.01), new RouteModel("tag", 0.35, 90, 12, 5, 0.01));

	private static final Instant START = Instant.ofEpochSecond(1000);

	private static final Duration STEP = Duration.ofMillis(20);

	private static final int SERVERS = 24;

	final RolloutOrder order;

	private final SplittableRandom random;

	private final double requestsPerSecond;

	private final VersionModel target;

	private final List<DaemonId> daemons = new ArrayList<>();

	private final List<PoolRollout> rollouts = new ArrayList<>();

	private final PriorityQueue<Run> runs = new PriorityQueue<>(Comparator.comparing(Run::end));

	private final PriorityQueue<Run> firstData = new PriorityQueue<>(Comparator.comparing(Run::end));

	private final RolloutCoordinator coordinator;

	private Instant now = START;

	private Instant tickedAt = START;

	private Instant announcedAt = Instant.MIN;

	int targetRequests;

	int requests;

	int badResponses;

	int badResponsesAtEnd;

	int targetRequestsAfterEnd;

	int othersAtEnd;

	Duration endedAfter = Duration.ZERO;

	RolloutFixture(long seed, int daemonCount, double requestsPerSecond, Duration duration, VersionModel target) {
		this.random = new SplittableRandom(seed);
		this.requestsPerSecond = requestsPerSecond;
		this.target = target;
		this.order = new RolloutOrder(PoolName.of("pool"), TARGET, duration, 7);
		this.coordinator = RolloutCoordinator.create(this.order, SETTINGS, 1, RolloutPhase.CANARY, Duration.ZERO,
				START);
		for (int i = 0; i < daemonCount; i++) {
			this.daemons.add(DaemonId.of("d" + i));
			this.rollouts.add(PoolRollout.create(this.order, Set.of(OLD, TARGET), 0, this.random.split(), START));
		}
	}

	RolloutFixture run() {
		Instant limit = START.plus(this.order.duration().multipliedBy(2));
		while (this.now.isBefore(limit) && !this.coordinator.stage().phase().isFinal()) {
			step();
		}
		this.endedAfter = Duration.between(START, this.now);
		this.badResponsesAtEnd = this.badResponses;
		int before = this.targetRequests;
		for (int i = 0; i < 100; i++) {
			step();
		}
		this.targetRequestsAfterEnd = this.targetRequests - before;
		return this;
	}

	RolloutPhase phase() {
		return this.coordinator.stage().phase();
	}

	String reason() {
		return this.coordinator.reason();
	}

	/**
	 * Returns how many requests a faulty version may get.
	 * @return the limit at the rate of this fixture
	 */
	double allowed() {
		return SETTINGS.exposedShare() * this.requestsPerSecond * this.order.duration().toMillis() / 1e3
				+ SETTINGS.exposedSlack();
	}

	private void step() {
		this.now = this.now.plus(STEP);
		endRuns();
		double expected = this.requestsPerSecond * STEP.toMillis() / 1e3;
		for (double left = expected; this.random.nextDouble() < left; left--) {
			request();
		}
		if (Duration.between(this.tickedAt, this.now).toMillis() >= 100) {
			this.tickedAt = this.now;
			tick();
		}
	}

	private void request() {
		int daemon = this.random.nextInt(this.rollouts.size());
		PoolRollout rollout = this.rollouts.get(daemon);
		Optional<SoftwareVersion> sample = rollout.sample(this.now);
		VersionGate gate = rollout.gate(this.now);
		SoftwareVersion version = sample.orElse(gate.takesUnbound(TARGET) ? TARGET : OLD);
		boolean isTarget = version.equals(TARGET);
		this.requests++;
		this.targetRequests += isTarget ? 1 : 0;
		rollout.dispatched(version);
		RouteModel route = route();
		RunMeasurement run = (isTarget ? this.target : VersionModel.SOUND).run(route, Duration.between(START, this.now),
				load(), this.random);
		this.runs.add(new Run(this.now.plus(run.duration()), daemon, version, route.name(), run));
		Duration first = run.timeToFirstToken();
		if (first != null) {
			this.firstData.add(new Run(this.now.plus(first), daemon, version, route.name(), run));
		}
	}

	// The sample is sent to so few backend servers that they are loaded as usual.
	private double load() {
		RolloutStage stage = this.coordinator.stage();
		return (stage.phase() == RolloutPhase.CANARY) ? stage.share() * SERVERS / Math.max(1, stage.servers()) : 1;
	}

	private RouteModel route() {
		double draw = this.random.nextDouble();
		for (RouteModel route : ROUTES) {
			draw -= route.share();
			if (draw < 0) {
				return route;
			}
		}
		return ROUTES.get(0);
	}

	private void endRuns() {
		while (!this.firstData.isEmpty() && !this.firstData.peek().end().isAfter(this.now)) {
			Run run = this.firstData.remove();
			Duration first = Objects.requireNonNull(run.measurement().timeToFirstToken());
			this.rollouts.get(run.daemon()).firstData(run.version(), run.route(), first);
		}
		while (!this.runs.isEmpty() && !this.runs.peek().end().isAfter(this.now)) {
			Run run = this.runs.remove();
			boolean isBad = run.measurement().end() == RunEnd.REJECTED && run.version().equals(TARGET);
			this.badResponses += isBad ? 1 : 0;
			this.rollouts.get(run.daemon()).ended(run.version(), run.route(), run.measurement());
		}
	}

	private void tick() {
		for (int i = 0; i < this.rollouts.size(); i++) {
			if (this.rollouts.get(i).isReportDue(this.now)) {
				this.coordinator.received(this.daemons.get(i), 1, this.rollouts.get(i).report(this.now), this.now);
			}
		}
		FleetFacts facts = new FleetFacts(6 * SERVERS, SERVERS, 6 * SERVERS, new HashSet<>(this.daemons));
		RolloutStep step = this.coordinator.tick(facts, this.now);
		if (step == RolloutStep.COMPLETE) {
			this.othersAtEnd = (int) this.runs.stream().filter((run) -> run.version().equals(OLD)).count();
			this.coordinator.ended(RolloutPhase.COMPLETE);
		}
		Duration interval = RolloutTiming.interval(this.daemons.size());
		if (step != RolloutStep.NONE || this.announcedAt == Instant.MIN
				|| Duration.between(this.announcedAt, this.now).compareTo(interval) >= 0) {
			announce(interval);
		}
	}

	private void announce(Duration interval) {
		this.announcedAt = this.now;
		RolloutAnnouncement announcement = new RolloutAnnouncement(this.order.pool(), this.coordinator.stage(),
				Duration.between(START, this.now), interval);
		this.rollouts.forEach((rollout) -> rollout.follow(this.daemons.get(0), announcement, this.now));
	}

	/**
	 * A request that runs.
	 */
	private record Run(Instant end, int daemon, SoftwareVersion version, String route, RunMeasurement measurement) {
	}

}
