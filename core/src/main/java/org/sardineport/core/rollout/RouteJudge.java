package org.sardineport.core.rollout;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Compares the responses of one route between the arms of a rollout. Errors are compared
 * by their share. Durations are compared with the slowest responses of the other arm, so
 * that backend servers of different speed and prompts of different length do not count.
 * Not thread-safe.
 */
final class RouteJudge {

	/**
	 * Share of the responses that may be errors because of single faulty backend servers,
	 * in addition to the share at the other versions.
	 */
	private static final double USUAL_ERRORS = 0.06;

	/** Rise of the share of errors that a faulty version shows. */
	private static final double FAULTY_RISE = 0.25;

	private static final double MAX_USUAL = 0.6;

	private static final double MAX_FAULTY = 0.95;

	/** Quantile of the other arm's durations that a slow response exceeds. */
	private static final double SLOW_QUANTILE = 0.9;

	/**
	 * Buckets by which a slow response exceeds that quantile: a factor of about two.
	 */
	private static final int SLOW_BUCKETS = 2;

	/**
	 * The same once the target has all requests, as the responses compared with are older
	 * then: a factor of about three.
	 */
	private static final int LATER_SLOW_BUCKETS = 3;

	/** Share of slow responses among those of a sound version, at most. */
	private static final double USUAL_SLOW = 0.1;

	/** Share of slow responses among those of a slow version, at least. */
	private static final double FAULTY_SLOW = 0.35;

	/** Responses of the other arm from which durations are compared. */
	private static final int MIN_BASELINE = 20;

	private final String route;

	private final CumulativeTest errors = new CumulativeTest();

	private final CumulativeTest slowStart = new CumulativeTest();

	private final CumulativeTest slowTokens = new CumulativeTest();

	private final ArmEvidence others = ArmEvidence.create();

	private final ArmEvidence uncompared = ArmEvidence.create();

	private int samples;

	RouteJudge(String route) {
		this.route = route;
	}

	/**
	 * Adds the runs since the last call. Once the target has all requests, the time to
	 * the first data is not compared any more: it grows with the load, of which the other
	 * arm has none.
	 * @param runs the runs of both arms
	 * @param areComparable whether both arms have a part of the requests
	 */
	void add(RouteEvidence runs, boolean areComparable) {
		if (areComparable) {
			this.others.add(runs.others());
		}
		ArmEvidence target = runs.target();
		this.samples += target.total();
		double usual = Math.min(MAX_USUAL, USUAL_ERRORS + errorShare());
		this.errors.add(target.failed(), target.total(), usual, Math.min(MAX_FAULTY, usual + FAULTY_RISE));
		this.uncompared.add(target);
		if (areComparable) {
			compare(this.slowStart, this.others.firstData(), this.uncompared.firstData(), SLOW_BUCKETS);
		}
		compare(this.slowTokens, this.others.perToken(), this.uncompared.perToken(),
				areComparable ? SLOW_BUCKETS : LATER_SLOW_BUCKETS);
	}

	/**
	 * Lets earlier runs of the other arm count less, as the load changes.
	 */
	void ageBaseline() {
		this.others.halve();
	}

	// With one error among 20 responses more than were seen, so that a short history does
	// not pass for one without errors.
	private double errorShare() {
		return (this.others.failed() + 1.0) / (this.others.total() + 20.0);
	}

	private static void compare(CumulativeTest test, LatencyHistogram baseline, LatencyHistogram target, int buckets) {
		int count = target.total();
		if (count == 0 || baseline.total() < MIN_BASELINE) {
			return;
		}
		int slow = target.countAbove(baseline.quantileBucket(SLOW_QUANTILE) + buckets);
		test.add(slow, count, USUAL_SLOW, FAULTY_SLOW);
		target.clear();
	}

	int samples() {
		return this.samples;
	}

	int baselineSamples() {
		return this.others.total();
	}

	double evidence() {
		return Math.max(this.errors.evidence(), Math.max(this.slowStart.evidence(), this.slowTokens.evidence()));
	}

	Optional<Suspicion> suspicion() {
		List<Suspicion> certain = new ArrayList<>();
		addIfCertain(certain, Suspicion.Sign.ERRORS, this.errors);
		addIfCertain(certain, Suspicion.Sign.SLOW_START, this.slowStart);
		addIfCertain(certain, Suspicion.Sign.SLOW_TOKENS, this.slowTokens);
		return certain.stream().findFirst();
	}

	private void addIfCertain(List<Suspicion> certain, Suspicion.Sign sign, CumulativeTest test) {
		if (test.isCertain()) {
			certain.add(new Suspicion(this.route, sign, test.events(), test.samples(), test.evidence()));
		}
	}

}
