package org.sardineport.core.rollout;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

import org.sardineport.core.identity.DaemonId;

/**
 * Decides how far a rollout goes. The target first gets a small share of the requests, on
 * so few backend servers that these are loaded as usual, then for a moment a larger one,
 * and all of them once it was judged sound; the rollout is complete when no daemon has
 * work at other versions. It is taken back at the first certain sign of a fault. All
 * along, a fault that shows must be known before the target got more than the budget.
 * Times are of the daemon's monotonic clock. Not thread-safe.
 */
public final class RolloutCoordinator {

	/** Share of the requests of the first sample, as a part of the exposed share. */
	private static final double SAMPLE_PART = 0.4;

	/** Responses that the first sample should bring. */
	private static final int SAMPLE_SIZE = 90;

	/** Part of the budget that the first sample may use. */
	private static final double SAMPLE_BUDGET = 0.5;

	/** Share of the requests of the last sample. */
	private static final double LARGE_SHARE = 0.25;

	/**
	 * Load of the backend servers that share a sample, relative to that of the others.
	 */
	private static final double SAMPLE_LOAD = 0.8;

	/** Fewest backend servers that share a sample, as single ones may be faulty. */
	private static final int MIN_SERVERS = 3;

	/**
	 * Part of the order's duration before which the target does not get all requests, as
	 * some faults only show after a while.
	 */
	private static final double EARLIEST_FULL = 0.4;

	/** Part of the duration after which less evidence suffices. */
	private static final double LATE = 0.55;

	/** Evidence against the target with which it may still get all requests. */
	private static final double MAX_EVIDENCE = 1.5;

	/** The same late. */
	private static final double MAX_LATE_EVIDENCE = 2.5;

	/** Responses that suffice late. */
	private static final int FEW_SAMPLES = 12;

	/**
	 * Part of the duration after which a target that is not judged is taken back, and a
	 * daemon that never reported is no longer waited for.
	 */
	private static final double TOO_LATE = 0.9;

	/** Part of the others' slots that the target needs to get all requests. */
	private static final double NEEDED_SLOTS = 0.7;

	/** Shortest time of the large sample. */
	private static final Duration MIN_LARGE_TIME = Duration.ofMillis(600);

	/** Time in which a report crosses the network and is judged. */
	private static final Duration REACTION = Duration.ofMillis(500);

	/**
	 * Time before the end of the duration at which few requests at others are given up.
	 */
	private static final Duration END_MARGIN = Duration.ofMillis(800);

	/**
	 * Requests that may be cut off at other versions if the duration ends, as a part of
	 * all requests since the order.
	 */
	private static final double CUT_PART = 0.01;

	/** Interval at which earlier runs at other versions count half as much. */
	private static final Duration BASELINE_HALF_LIFE = Duration.ofSeconds(4);

	/** Time after which the daemons have reported how many requests come. */
	private static final Duration RATE_KNOWN = Duration.ofMillis(1500);

	private static final Duration RUNNING_VERSION_WAIT = Duration.ofSeconds(1);

	private final RolloutOrder order;

	private final ExposureBudget budget;

	private final long term;

	private final Instant orderedAt;

	private final VersionJudge judge = new VersionJudge();

	private final Map<DaemonId, Received> reports = new HashMap<>();

	private RolloutPhase phase;

	private double share;

	private int servers;

	private boolean large;

	private Instant agedAt;

	private Instant shareSince;

	private long targetSent;

	private long sent;

	private String reason = "";

	private RolloutCoordinator(RolloutOrder order, RolloutSettings settings, long term, RolloutPhase known,
			Duration age, Instant now) {
		this.order = Objects.requireNonNull(order, "order must not be null");
		this.budget = new ExposureBudget(settings, order.duration());
		this.term = term;
		this.phase = known;
		this.orderedAt = now.minus(age);
		this.shareSince = now;
		this.agedAt = now;
	}

	/**
	 * Returns the coordinator of an order.
	 * @param order the order
	 * @param settings limits of the deployment
	 * @param term number of its claim
	 * @param known phase that this daemon knows from a former coordinator
	 * @param age time since the order
	 * @param now the current time
	 * @return the coordinator
	 */
	public static RolloutCoordinator create(RolloutOrder order, RolloutSettings settings, long term, RolloutPhase known,
			Duration age, Instant now) {
		return new RolloutCoordinator(order, settings, term, known, age, now);
	}

	/**
	 * Handles the report of a daemon. One that arrives after a later report is ignored.
	 * @param sender the daemon
	 * @param incarnation number of its run; a daemon that was restarted counts from 0
	 * again
	 * @param report what it has seen
	 * @param now the current time
	 */
	public void received(DaemonId sender, long incarnation, RolloutReport report, Instant now) {
		Received former = this.reports.get(sender);
		boolean isRestart = former != null && former.incarnation < incarnation;
		boolean isOutdated = former != null && !isRestart
				&& (former.incarnation > incarnation || former.report.sent() > report.sent());
		if (report.revision() != this.order.revision() || isOutdated) {
			return;
		}
		Received earlier = isRestart ? null : former;
		Received latest = new Received(incarnation, report, now,
				(earlier != null) ? earlier.evidence : new HashMap<>());
		this.reports.put(sender, latest);
		this.sent += report.sent() - ((earlier != null) ? earlier.report.sent() : 0);
		this.targetSent += Math.max(0, report.targetSent() - ((earlier != null) ? earlier.report.targetSent() : 0));
		report.routes().forEach((route, evidence) -> {
			RouteEvidence known = latest.evidence.put(route, evidence);
			this.judge.add(route, (known != null) ? evidence.since(known) : evidence,
					this.phase == RolloutPhase.CANARY);
		});
		// A former coordinator judged the target sound, and was not heard here.
		if (this.phase == RolloutPhase.CANARY && report.phase() == RolloutPhase.FULL) {
			this.phase = RolloutPhase.FULL;
		}
	}

	/**
	 * Decides on the next step. Must be called several times a second.
	 * @param facts what is known of the fleet
	 * @param now the current time
	 * @return the next step
	 */
	public RolloutStep tick(FleetFacts facts, Instant now) {
		if (this.phase.isFinal()) {
			return RolloutStep.NONE;
		}
		Optional<Suspicion> suspicion = this.judge.suspicion();
		if (suspicion.isPresent()) {
			return rollBack(describe(suspicion.get()));
		}
		if (isRunningAlready(facts, now)) {
			this.reason = "no other version is listed";
			return RolloutStep.COMPLETE;
		}
		return (this.phase == RolloutPhase.FULL) ? tickFull(facts, now) : tickCanary(facts, now);
	}

	private boolean isRunningAlready(FleetFacts facts, Instant now) {
		return facts.otherSlots() == 0 && facts.targetSlots() > 0 && age(now).compareTo(RUNNING_VERSION_WAIT) >= 0;
	}

	private RolloutStep tickCanary(FleetFacts facts, Instant now) {
		if (Duration.between(this.agedAt, now).compareTo(BASELINE_HALF_LIFE) >= 0) {
			this.agedAt = now;
			this.judge.ageBaseline();
		}
		if (isPast(TOO_LATE, now)) {
			return rollBack("not judged in time, after %d responses".formatted(this.judge.samples()));
		}
		if (facts.targetServers() == 0) {
			return setShare(0, facts, now);
		}
		Duration interval = RolloutTiming.interval(facts.members().size());
		if (this.large) {
			return tickLarge(facts, interval, now);
		}
		if (mayEnlarge(facts, now) && (isPast(LATE, now)
				|| this.budget.affords(this.targetSent, LARGE_SHARE, largeTime(interval).plus(REACTION), rate(now)))) {
			this.large = true;
			this.shareSince = now;
			setShare(LARGE_SHARE, facts, now);
			return RolloutStep.ANNOUNCE;
		}
		boolean exhausted = this.targetSent > SAMPLE_BUDGET * this.budget.allowed(rate(now));
		return setShare(exhausted ? 0 : sampleShare(now), facts, now);
	}

	private RolloutStep tickLarge(FleetFacts facts, Duration interval, Instant now) {
		boolean seen = (this.share > 0 || isPast(LATE, now))
				&& Duration.between(this.shareSince, now).compareTo(largeTime(interval)) >= 0;
		boolean affordable = isPast(LATE, now)
				|| this.budget.affords(this.targetSent, 1, interval.plus(REACTION), rate(now));
		if (seen && isPlausible(now) && affordable && hasSlots(facts)) {
			this.phase = RolloutPhase.FULL;
			this.reason = "sound by %d responses".formatted(this.judge.samples());
			return RolloutStep.ANNOUNCE;
		}
		boolean exhausted = this.targetSent > this.budget.allowed(rate(now));
		return setShare(exhausted ? 0 : LARGE_SHARE, facts, now);
	}

	private static Duration largeTime(Duration interval) {
		Duration two = interval.multipliedBy(2);
		return (two.compareTo(MIN_LARGE_TIME) > 0) ? two : MIN_LARGE_TIME;
	}

	private boolean mayEnlarge(FleetFacts facts, Instant now) {
		boolean judged = this.judge.isJudged() || (isPast(LATE, now) && this.judge.samples() >= FEW_SAMPLES);
		return isPast(EARLIEST_FULL, now) && judged && isPlausible(now) && hasSlots(facts);
	}

	private static boolean hasSlots(FleetFacts facts) {
		return facts.targetSlots() >= NEEDED_SLOTS * facts.otherSlots();
	}

	private boolean isPlausible(Instant now) {
		return this.judge.evidence() <= (isPast(LATE, now) ? MAX_LATE_EVIDENCE : MAX_EVIDENCE);
	}

	// Few requests a second need a larger share to bring enough responses.
	private double sampleShare(Instant now) {
		double smallest = SAMPLE_PART * this.budget.exposedShare();
		double rate = rate(now);
		if (age(now).compareTo(RATE_KNOWN) < 0 || rate <= 0) {
			return smallest;
		}
		double requests = rate * EARLIEST_FULL * this.order.duration().toMillis() / 1e3;
		double affordable = SAMPLE_BUDGET * this.budget.allowed(rate) / requests;
		return Math.min(Math.min(LARGE_SHARE, affordable), Math.max(smallest, SAMPLE_SIZE / requests));
	}

	private RolloutStep setShare(double newShare, FleetFacts facts, Instant now) {
		int needed = (int) Math.ceil(facts.targetServers() * Math.min(1, newShare / SAMPLE_LOAD));
		int newServers = Math.min(facts.targetServers(), Math.max(MIN_SERVERS, needed));
		boolean isStep = (newShare == 0) != (this.share == 0) || newShare > 2 * this.share;
		if (isStep) {
			this.shareSince = now;
		}
		this.share = newShare;
		this.servers = newServers;
		return isStep ? RolloutStep.ANNOUNCE : RolloutStep.NONE;
	}

	private RolloutStep tickFull(FleetFacts facts, Instant now) {
		int inFlight = othersInFlight(facts, now);
		boolean atEnd = !now.isBefore(this.orderedAt.plus(this.order.duration()).minus(END_MARGIN));
		if (inFlight == 0 || (atEnd && inFlight <= CUT_PART * this.sent)) {
			this.reason = "%d requests at other versions, %d responses judged".formatted(inFlight,
					this.judge.samples());
			return RolloutStep.COMPLETE;
		}
		return RolloutStep.NONE;
	}

	// A member that has not confirmed the phase lately counts as at least one request;
	// one
	// that has never reported, only for a part of the duration. Former members count
	// until
	// they have been silent for twice as long.
	private int othersInFlight(FleetFacts facts, Instant now) {
		Duration fresh = RolloutTiming.silence(RolloutTiming.interval(facts.members().size()));
		int inFlight = 0;
		for (DaemonId member : facts.members()) {
			Received received = this.reports.get(member);
			if (received == null) {
				inFlight += isPast(TOO_LATE, now) ? 0 : 1;
			}
			else if (!received.report.hasLeftOthers(this.term) || received.isOlderThan(fresh, now)) {
				inFlight += Math.max(1, received.report.othersInFlight());
			}
		}
		for (Map.Entry<DaemonId, Received> entry : this.reports.entrySet()) {
			boolean isMember = facts.members().contains(entry.getKey());
			boolean mayRun = !isMember && !entry.getValue().isOlderThan(fresh.multipliedBy(2), now);
			if (mayRun && !entry.getValue().report.hasLeftOthers(this.term)) {
				inFlight += Math.max(1, entry.getValue().report.othersInFlight());
			}
		}
		return inFlight;
	}

	private RolloutStep rollBack(String why) {
		this.phase = RolloutPhase.ROLLED_BACK;
		this.share = 0;
		this.reason = why;
		return RolloutStep.ROLL_BACK;
	}

	private static String describe(Suspicion suspicion) {
		return "route %s, %s: %d of %d responses, evidence %.1f".formatted(suspicion.route(), suspicion.sign().label(),
				suspicion.events(), suspicion.samples(), suspicion.evidence());
	}

	/**
	 * Takes the target back, as the operator has withdrawn the order.
	 * @return the next step
	 */
	public RolloutStep withdrawn() {
		return this.phase.isFinal() ? RolloutStep.NONE : rollBack("the order was withdrawn");
	}

	/**
	 * Records how the rollout ended, as stored.
	 * @param finalPhase the final phase
	 */
	public void ended(RolloutPhase finalPhase) {
		this.phase = finalPhase;
		this.share = 0;
	}

	private double rate(Instant now) {
		return this.sent * 1e3 / Math.max(1000, age(now).toMillis());
	}

	private Duration age(Instant now) {
		return Duration.between(this.orderedAt, now);
	}

	private boolean isPast(double part, Instant now) {
		return age(now).toMillis() >= part * this.order.duration().toMillis();
	}

	/**
	 * Returns the order.
	 * @return the order
	 */
	public RolloutOrder order() {
		return this.order;
	}

	/**
	 * Returns how far the rollout has come.
	 * @return the stage to announce
	 */
	public RolloutStage stage() {
		return new RolloutStage(this.order.revision(), this.term, this.phase, this.share, this.servers);
	}

	/**
	 * Returns why the last step was taken.
	 * @return one clause for the log; empty before the first step with a reason
	 */
	public String reason() {
		return this.reason;
	}

	/**
	 * Returns how many requests the target got, as far as reported.
	 * @return the number
	 */
	public long targetSent() {
		return this.targetSent;
	}

	/**
	 * Returns how many requests of the pool were sent, as far as reported.
	 * @return the number
	 */
	public long sent() {
		return this.sent;
	}

	/**
	 * Last report of a daemon, and the last evidence of each route, as a report does not
	 * hold all routes.
	 */
	private record Received(long incarnation, RolloutReport report, Instant at, Map<String, RouteEvidence> evidence) {

		boolean isOlderThan(Duration age, Instant now) {
			return Duration.between(this.at, now).compareTo(age) > 0;
		}

	}

}
