package org.sardineport.core.rollout;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Judges the target of a rollout by the runs of all daemons: for each route, as a version
 * can be faulty on one only, and for all together, as a route can have few requests. Not
 * thread-safe.
 */
final class VersionJudge {

	/** Name under which the errors of all routes are judged together. */
	private static final String ALL = "*";

	/** Share of the runs from which on a route must have been judged. */
	private static final double RELEVANT_SHARE = 0.05;

	/** Responses of the target from which a route counts as judged. */
	private static final int MIN_SAMPLES = 12;

	/** Responses of the target from which it counts as judged. */
	private static final int MIN_ALL_SAMPLES = 30;

	private final Map<String, RouteJudge> routes = new HashMap<>();

	private final RouteJudge all = new RouteJudge(ALL);

	/**
	 * Adds the runs of a route since the last call.
	 * @param route name of the route
	 * @param runs the runs of both arms
	 * @param areComparable whether both arms have a part of the requests
	 */
	void add(String route, RouteEvidence runs, boolean areComparable) {
		this.routes.computeIfAbsent(route, RouteJudge::new).add(runs, areComparable);
		this.all.add(errorsOnly(runs), areComparable);
	}

	/**
	 * Lets earlier runs of the other arm count less, as the load changes.
	 */
	void ageBaseline() {
		this.routes.values().forEach(RouteJudge::ageBaseline);
		this.all.ageBaseline();
	}

	// Durations of different routes are not comparable.
	private static RouteEvidence errorsOnly(RouteEvidence runs) {
		return new RouteEvidence(errorsOnly(runs.target()), errorsOnly(runs.others()));
	}

	private static ArmEvidence errorsOnly(ArmEvidence arm) {
		return ArmEvidence.of(arm.succeeded(), arm.failed(), LatencyHistogram.create(), LatencyHistogram.create());
	}

	/**
	 * Returns why the target is faulty.
	 * @return the reason, or empty if it is not known to be
	 */
	Optional<Suspicion> suspicion() {
		for (RouteJudge route : this.routes.values()) {
			Optional<Suspicion> suspicion = route.suspicion();
			if (suspicion.isPresent()) {
				return suspicion;
			}
		}
		return this.all.suspicion();
	}

	/**
	 * Returns how much speaks against the target.
	 * @return the evidence of the test that finds most, as the logarithm of a likelihood
	 * ratio; 0 if nothing does
	 */
	double evidence() {
		return this.routes.values().stream().mapToDouble(RouteJudge::evidence).reduce(this.all.evidence(), Math::max);
	}

	/**
	 * Returns whether the target has answered enough requests of each route that has a
	 * part in the traffic.
	 * @return whether it is judged
	 */
	boolean isJudged() {
		int baseline = this.all.baselineSamples();
		return this.all.samples() >= MIN_ALL_SAMPLES && this.routes.values()
			.stream()
			.filter((route) -> route.baselineSamples() >= RELEVANT_SHARE * baseline)
			.allMatch((route) -> route.samples() >= MIN_SAMPLES);
	}

	int samples() {
		return this.all.samples();
	}

}
