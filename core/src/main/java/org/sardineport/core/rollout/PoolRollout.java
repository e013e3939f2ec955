package org.sardineport.core.rollout;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.admission.RunMeasurement;
import org.sardineport.core.backend.SoftwareVersion;
import org.sardineport.core.identity.DaemonId;

/**
 * The rollout of one pool as a daemon follows it: what it sends where, and what it has
 * seen. Without announcements, nothing is sent to the target during the sample; once it
 * has all new work, it keeps it. Times are of the daemon's monotonic clock. Not
 * thread-safe.
 */
public final class PoolRollout {

	/**
	 * Time for which the former versions stay closed after the completion, in which they
	 * stop and leave the list.
	 */
	private static final Duration FORMER_CLOSED = Duration.ofSeconds(10);

	/** Shortest time between two reports if there is news of a fault. */
	private static final Duration URGENT_INTERVAL = Duration.ofMillis(100);

	private static final Duration KEEP_ALIVE = Duration.ofSeconds(1);

	private final RandomGenerator random;

	private final RolloutOrder order;

	private final Map<String, RouteEvidence> routes = new HashMap<>();

	private Set<SoftwareVersion> listed;

	private Duration age;

	private @Nullable RolloutStage stage;

	private @Nullable DaemonId coordinator;

	private Duration interval = RolloutTiming.MIN_INTERVAL;

	private Instant heardAt;

	private Instant leaseEnd = Instant.MIN;

	private @Nullable Instant endedAt;

	private Set<SoftwareVersion> formerVersions = Set.of();

	private boolean alone;

	private int targetSent;

	private int sent;

	private int othersInFlight;

	private boolean news;

	private boolean urgentNews;

	private Instant reportedAt = Instant.MIN;

	private PoolRollout(RolloutOrder order, Set<SoftwareVersion> listed, RandomGenerator random, Instant now) {
		this.order = Objects.requireNonNull(order, "order must not be null");
		this.random = Objects.requireNonNull(random, "random must not be null");
		this.heardAt = now;
		this.age = Duration.ZERO;
		this.listed = Set.copyOf(listed);
		this.alone = listed.equals(Set.of(order.target()));
	}

	/**
	 * Returns the rollout of a new order.
	 * @param order the order
	 * @param listed versions of the pool that are listed
	 * @param othersInFlight requests that run at other versions than the target
	 * @param random draws the sample
	 * @param now the current time
	 * @return the rollout
	 */
	public static PoolRollout create(RolloutOrder order, Set<SoftwareVersion> listed, int othersInFlight,
			RandomGenerator random, Instant now) {
		PoolRollout created = new PoolRollout(order, listed, random, now);
		created.othersInFlight = othersInFlight;
		return created;
	}

	/**
	 * Records which versions of the pool are listed.
	 * @param versions the versions
	 */
	public void listed(Set<SoftwareVersion> versions) {
		this.listed = Set.copyOf(versions);
		this.alone &= versions.isEmpty() || versions.equals(Set.of(this.order.target()));
	}

	/**
	 * Follows an announcement, unless it is of another order or outdated.
	 * @param sender the daemon that sent it
	 * @param announcement the announcement
	 * @param now the current time
	 * @return whether another phase or number of backend servers applies, so that gates
	 * may change
	 */
	public boolean follow(DaemonId sender, RolloutAnnouncement announcement, Instant now) {
		RolloutStage next = announcement.stage();
		RolloutStage known = this.stage;
		if (next.revision() != this.order.revision() || (known != null && !next.replaces(known))) {
			return false;
		}
		// A successor that missed the end of the sample learns of it from the reports.
		boolean isBehind = known != null && known.phase() == RolloutPhase.FULL && next.phase() == RolloutPhase.CANARY;
		next = isBehind ? new RolloutStage(next.revision(), next.term(), RolloutPhase.FULL, 0, 0) : next;
		this.stage = next;
		this.coordinator = sender;
		this.interval = announcement.interval();
		this.leaseEnd = now.plus(RolloutTiming.lease(this.interval));
		this.heardAt = now;
		this.age = announcement.age();
		boolean changed = known == null || known.phase() != next.phase() || known.servers() != next.servers();
		if (changed) {
			this.news = true;
			this.urgentNews |= known == null || known.phase() != next.phase();
		}
		if (next.phase().isFinal()) {
			end(now);
		}
		return changed;
	}

	/**
	 * Follows the stored end of the rollout.
	 * @param phase the final phase
	 * @param now the current time
	 */
	public void ended(RolloutPhase phase, Instant now) {
		RolloutStage known = this.stage;
		if (known == null || !known.phase().isFinal()) {
			this.stage = new RolloutStage(this.order.revision(), (known != null) ? known.term() : 0, phase, 0, 0);
			end(now);
		}
	}

	private void end(Instant now) {
		if (this.endedAt == null) {
			this.endedAt = now;
			Set<SoftwareVersion> former = new HashSet<>(this.listed);
			former.remove(this.order.target());
			this.formerVersions = former;
		}
	}

	/**
	 * Returns which versions take new work.
	 * @param now the current time
	 * @return the gate
	 */
	public VersionGate gate(Instant now) {
		RolloutPhase phase = phase();
		if (phase == RolloutPhase.COMPLETE) {
			boolean isOver = this.endedAt == null || !now.isBefore(this.endedAt.plus(FORMER_CLOSED));
			return isOver ? VersionGate.OPEN : VersionGate.OPEN.closedFor(this.formerVersions);
		}
		if (this.alone && phase != RolloutPhase.ROLLED_BACK) {
			return VersionGate.OPEN;
		}
		return VersionGate.of(this.order, phase, (this.stage != null) ? this.stage.servers() : 0);
	}

	/**
	 * Returns the phase that applies.
	 * @return the phase; {@link RolloutPhase#CANARY} before any announcement
	 */
	public RolloutPhase phase() {
		return (this.stage != null) ? this.stage.phase() : RolloutPhase.CANARY;
	}

	/**
	 * Draws whether a request belongs to the sample.
	 * @param now the current time
	 * @return the target if it does
	 */
	public Optional<SoftwareVersion> sample(Instant now) {
		RolloutStage known = this.stage;
		if (known == null || known.phase() != RolloutPhase.CANARY || now.isAfter(this.leaseEnd)) {
			return Optional.empty();
		}
		return (this.random.nextDouble() < known.share()) ? Optional.of(this.order.target()) : Optional.empty();
	}

	/**
	 * Records that a request is sent to a backend server.
	 * @param version its version
	 */
	public void dispatched(SoftwareVersion version) {
		this.sent++;
		this.news = true;
		if (version.equals(this.order.target())) {
			this.targetSent++;
		}
		else {
			this.othersInFlight++;
		}
	}

	/**
	 * Records that a stream has begun.
	 * @param version version of the backend server
	 * @param route name of the request's route
	 * @param time time since the request was sent
	 */
	public void firstData(SoftwareVersion version, String route, Duration time) {
		evidence(version, route).addBegun(time);
		this.news = true;
	}

	private ArmEvidence evidence(SoftwareVersion version, String route) {
		return this.routes.computeIfAbsent(route, (name) -> RouteEvidence.create())
			.arm(version.equals(this.order.target()));
	}

	/**
	 * Records that a request has left a backend server.
	 * @param version its version
	 * @param route name of the request's route
	 * @param measurement how it ended
	 */
	public void ended(SoftwareVersion version, String route, RunMeasurement measurement) {
		boolean isTarget = version.equals(this.order.target());
		if (!isTarget) {
			this.othersInFlight = Math.max(0, this.othersInFlight - 1);
			this.urgentNews |= this.othersInFlight == 0 && phase() == RolloutPhase.FULL;
		}
		ArmEvidence arm = evidence(version, route);
		int failed = arm.failed();
		if (arm.add(measurement)) {
			this.news = true;
			this.urgentNews |= isTarget && arm.failed() > failed;
		}
	}

	/**
	 * Returns whether a report to the coordinator is due.
	 * @param now the current time
	 * @return whether to send {@link #report}
	 */
	public boolean isReportDue(Instant now) {
		if (this.coordinator == null || isOver()) {
			return false;
		}
		Duration since = (this.reportedAt == Instant.MIN) ? KEEP_ALIVE : Duration.between(this.reportedAt, now);
		Duration needed = KEEP_ALIVE;
		if (this.urgentNews) {
			needed = URGENT_INTERVAL;
		}
		else if (this.news) {
			needed = this.interval;
		}
		return since.compareTo(needed) >= 0;
	}

	/**
	 * Returns what this daemon has seen.
	 * @param now the current time
	 * @return the report to the coordinator
	 */
	public RolloutReport report(Instant now) {
		this.reportedAt = now;
		this.news = false;
		this.urgentNews = false;
		Map<String, RouteEvidence> largest = new LinkedHashMap<>();
		Comparator<Map.Entry<String, RouteEvidence>> bySize = Comparator
			.comparingInt((entry) -> -entry.getValue().target().total());
		List<Map.Entry<String, RouteEvidence>> sorted = this.routes.entrySet()
			.stream()
			.sorted(bySize.thenComparing((entry) -> -entry.getValue().others().total()))
			.limit(RolloutReport.MAX_ROUTES)
			.toList();
		sorted.forEach((entry) -> largest.put(entry.getKey(), entry.getValue().copy()));
		RolloutStage known = this.stage;
		return new RolloutReport(this.order.pool(), this.order.revision(), (known != null) ? known.term() : 0, phase(),
				this.targetSent, this.sent, this.othersInFlight, largest);
	}

	/**
	 * Returns whether the coordinator has been silent for so long that another one must
	 * take over.
	 * @param now the current time
	 * @param patience times that this daemon waits longer than the first in line
	 * @return whether this daemon should claim the rollout
	 */
	public boolean isCoordinatorMissing(Instant now, int patience) {
		if (isOver()) {
			return false;
		}
		Duration base = (this.stage != null) ? RolloutTiming.silence(this.interval) : Duration.ZERO;
		Duration allowed = base.plus(RolloutTiming.silence(this.interval).multipliedBy(patience));
		return Duration.between(this.heardAt, now).compareTo(allowed) >= 0;
	}

	/**
	 * Waits for a coordinator that has claimed the rollout, and may not have been heard
	 * yet.
	 * @param now the current time
	 */
	public void awaitCoordinator(Instant now) {
		this.age = age(now);
		this.heardAt = now;
	}

	/**
	 * Returns the daemon whose announcements are followed.
	 * @return the daemon, or {@code null} before any announcement
	 */
	public @Nullable DaemonId coordinator() {
		return this.coordinator;
	}

	/**
	 * Returns the claim that is followed.
	 * @return its number; 0 before any announcement
	 */
	public long term() {
		return (this.stage != null) ? this.stage.term() : 0;
	}

	/**
	 * Returns the time since the order, as far as known.
	 * @param now the current time
	 * @return the time
	 */
	public Duration age(Instant now) {
		return this.age.plus(Duration.between(this.heardAt, now));
	}

	/**
	 * Returns whether the rollout has ended.
	 * @return whether its phase is final
	 */
	public boolean isOver() {
		return phase().isFinal();
	}

	/**
	 * Returns whether nothing changes any more by the passing of time.
	 * @param now the current time
	 * @return whether the rollout has ended and the former versions are forgotten
	 */
	public boolean isSettled(Instant now) {
		return this.endedAt != null && !now.isBefore(this.endedAt.plus(FORMER_CLOSED));
	}

	/**
	 * Returns how many requests run at other versions than the target.
	 * @return the number
	 */
	public int othersInFlight() {
		return this.othersInFlight;
	}

	/**
	 * Returns the order.
	 * @return the order
	 */
	public RolloutOrder order() {
		return this.order;
	}

}
