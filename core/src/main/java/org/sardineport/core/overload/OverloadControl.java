package org.sardineport.core.overload;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.EnumMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.random.RandomGenerator;

import org.sardineport.core.request.Tier;

/**
 * Decides which requests are refused because the daemon is short of processor time. While
 * the delay of its threads is above a threshold, a growing share of the requests is
 * refused, those of lower tiers first; once it is below, the share shrinks faster than it
 * grew. Not thread-safe.
 */
public final class OverloadControl {

	/**
	 * Delay at which overload begins, and at which the lowest tier is refused. A machine
	 * whose processor share is enforced over periods of 100 ms is up to 90 ms late at
	 * ordinary load.
	 */
	public static final Duration BEGIN = Duration.ofMillis(250);

	/** Delay below which overload ends. */
	public static final Duration END = BEGIN.dividedBy(2);

	/** Interval at which the refused share is adjusted. */
	static final Duration WINDOW = Duration.ofMillis(250);

	/** Maximum share of the requests that is refused, so that some are always served. */
	static final double MAX_SHARE = 0.9;

	/** Growth of the refused share in a window with at least twice the threshold. */
	private static final double MAX_GROWTH = 0.1;

	private static final double MIN_GROWTH = 0.02;

	/** Reduction of the refused share in a window below the threshold. */
	private static final double REDUCTION = 0.2;

	/** Weight that the requests of a window keep in the next one. */
	private static final double ARRIVALS_KEPT = 0.7;

	/**
	 * Turns of the event loop from the head of a request to its response: for the permit,
	 * for the response of the backend server, and one for a connection or a body.
	 */
	private static final int LOOP_TURNS = 3;

	/** Time over which callers are spread, as a fraction of the time they are told. */
	private static final double SPREAD = 0.5;

	private static final Duration MAX_RETRY_AFTER = Duration.ofSeconds(5);

	private static final Map<Tier, Duration> THRESHOLDS = new EnumMap<>(Map.of(Tier.BATCH, BEGIN, Tier.STANDARD,
			Duration.ofMillis(400), Tier.INTERACTIVE, Duration.ofMillis(700), Tier.URGENT, Duration.ofMillis(1000)));

	private static final Tier[] TIERS = Tier.values();

	private final InstantSource clock;

	private final RandomGenerator random;

	private final SmoothedDelay loopDelay = SmoothedDelay.create();

	private final SmoothedDelay schedulingDelay = SmoothedDelay.create();

	/** Recent arrivals by tier, with less weight for older ones. */
	private final double[] arrivals = new double[TIERS.length];

	/** Refusals by tier that the share called for and that were not made yet. */
	private final double[] owed = new double[TIERS.length];

	private Instant windowEnd;

	private double share;

	private boolean overloaded;

	private OverloadControl(InstantSource clock, RandomGenerator random) {
		this.clock = Objects.requireNonNull(clock, "clock must not be null");
		this.random = Objects.requireNonNull(random, "random must not be null");
		this.windowEnd = clock.instant().plus(WINDOW);
	}

	/**
	 * Returns a control that refuses nothing.
	 * @param clock a steady clock
	 * @param random spreads the times at which callers retry
	 * @return the control
	 */
	public static OverloadControl create(InstantSource clock, RandomGenerator random) {
		return new OverloadControl(clock, random);
	}

	/**
	 * Adds a measurement of both threads, and adjusts what is refused. Called at the
	 * interval of the measurements, whether or not there are requests.
	 * @param loop delay of the event loop
	 * @param scheduling delay of the scheduling thread
	 */
	public void record(Duration loop, Duration scheduling) {
		this.loopDelay.record(loop);
		this.schedulingDelay.record(scheduling);
		if (!this.clock.instant().isBefore(this.windowEnd)) {
			this.windowEnd = this.clock.instant().plus(WINDOW);
			adjustShare();
		}
		if (delay().compareTo(BEGIN) >= 0) {
			this.overloaded = true;
		}
		else if (delay().compareTo(END) < 0 && this.share == 0) {
			this.overloaded = false;
		}
	}

	private void adjustShare() {
		double excess = (double) delay().toNanos() / BEGIN.toNanos() - 1;
		if (excess >= 0) {
			double growth = Math.min(MAX_GROWTH, Math.max(MIN_GROWTH, MAX_GROWTH * excess));
			this.share = Math.min(MAX_SHARE, this.share + growth);
		}
		else {
			this.share = Math.max(0, this.share - REDUCTION);
		}
		for (int i = 0; i < TIERS.length; i++) {
			this.arrivals[i] *= ARRIVALS_KEPT;
		}
	}

	/**
	 * Decides on a request that was read.
	 * @param tier its tier
	 * @param remaining time for which its caller still waits for the response
	 * @return the time after which the caller may retry, if the request must be refused
	 */
	public Optional<Duration> check(Tier tier, Duration remaining) {
		this.arrivals[tier.ordinal()]++;
		if (!this.overloaded) {
			return Optional.empty();
		}
		if (remaining.compareTo(expectedDelay()) < 0) {
			return Optional.of(retryAfter(tier));
		}
		this.owed[tier.ordinal()] += refusedPart(tier);
		if (this.owed[tier.ordinal()] < 1) {
			return Optional.empty();
		}
		this.owed[tier.ordinal()]--;
		return Optional.of(retryAfter(tier));
	}

	// Returns the time that a request would spend waiting for the daemon's threads.
	private Duration expectedDelay() {
		return this.loopDelay.value().multipliedBy(LOOP_TURNS).plus(this.schedulingDelay.value());
	}

	// Returns which part of the requests of a tier is refused.
	private double refusedPart(Tier tier) {
		if (delay().compareTo(Objects.requireNonNull(THRESHOLDS.get(tier))) < 0) {
			return 0;
		}
		double left = this.share * sumFrom(0) - sumFrom(tier.ordinal() + 1);
		return Math.max(0, Math.min(MAX_SHARE, left / this.arrivals[tier.ordinal()]));
	}

	private double sumFrom(int tier) {
		double sum = 0;
		for (int i = tier; i < TIERS.length; i++) {
			sum += this.arrivals[i];
		}
		return sum;
	}

	// After these windows the share has shrunk to that of the lower tiers, so that
	// requests of the tier are admitted again if the delay has gone.
	private Duration retryAfter(Tier tier) {
		double all = sumFrom(0);
		double lower = (all > 0) ? sumFrom(tier.ordinal() + 1) / all : 0;
		long windows = 1 + (long) Math.ceil(Math.max(0, this.share - lower) / REDUCTION);
		Duration earliest = delay().plus(WINDOW.multipliedBy(windows));
		Duration spread = Duration.ofMillis((long) (this.random.nextDouble() * SPREAD * earliest.toMillis()));
		Duration chosen = earliest.plus(spread);
		return (chosen.compareTo(MAX_RETRY_AFTER) < 0) ? chosen : MAX_RETRY_AFTER;
	}

	/**
	 * Returns whether the daemon is overloaded.
	 * @return {@code true} from the first threshold on, until the delay is below half of
	 * it and nothing is refused
	 */
	public boolean isOverloaded() {
		return this.overloaded;
	}

	/**
	 * Returns the smoothed delay of the event loop.
	 * @return the delay
	 */
	public Duration loopDelay() {
		return this.loopDelay.value();
	}

	/**
	 * Returns the smoothed delay of the scheduling thread.
	 * @return the delay
	 */
	public Duration schedulingDelay() {
		return this.schedulingDelay.value();
	}

	/**
	 * Returns the share of the requests that is to be refused.
	 * @return between 0 and 0.9
	 */
	public double refusedShare() {
		return this.share;
	}

	private Duration delay() {
		Duration loop = this.loopDelay.value();
		Duration scheduling = this.schedulingDelay.value();
		return (loop.compareTo(scheduling) >= 0) ? loop : scheduling;
	}

}
