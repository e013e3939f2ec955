package org.sardineport.core.rollout;

import java.time.Duration;
import java.util.random.RandomGenerator;

import org.sardineport.core.admission.RunEnd;
import org.sardineport.core.admission.RunMeasurement;

/**
 * How the responses of a software version come: which part of them are errors, and by
 * which factor the others are slower than usual.
 */
interface VersionModel {

	/** Version without a fault. */
	VersionModel SOUND = (route, elapsed, load) -> new Fault(0, 1);

	/**
	 * Returns the fault of a version.
	 * @param route name of the route
	 * @param elapsed time since the order
	 * @param load load of its backend servers, 1 as with all traffic
	 * @return the fault
	 */
	Fault fault(String route, Duration elapsed, double load);

	/**
	 * Draws a run.
	 * @param route the route
	 * @param elapsed time since the order
	 * @param load load of the backend servers, 1 as with all traffic
	 * @param random source of randomness
	 * @return the run
	 */
	default RunMeasurement run(RouteModel route, Duration elapsed, double load, RandomGenerator random) {
		Fault fault = fault(route.name(), elapsed, load);
		if (random.nextDouble() < fault.errors() + route.usualErrors()) {
			return new RunMeasurement(RunEnd.REJECTED, 0, 0, 0, null, Duration.ofMillis(5));
		}
		double speed = RouteModel.SPEEDS[random.nextInt(RouteModel.SPEEDS.length)];
		double first = fault.slowdown() / speed * route.firstMillis() * Math.exp(0.6 * random.nextGaussian());
		int tokens = 1 + (int) (route.tokens() * Math.exp(0.8 * random.nextGaussian()));
		double rest = fault.slowdown() / speed * route.millisPerToken() * (tokens - 1);
		return new RunMeasurement(RunEnd.COMPLETED, 100, 0, tokens, nanos(first), nanos(first + rest));
	}

	private static Duration nanos(double millis) {
		return Duration.ofNanos((long) (millis * 1e6));
	}

	/**
	 * Fault of a version.
	 *
	 * @param errors share of its responses that are errors
	 * @param slowdown factor by which the others take longer
	 */
	record Fault(double errors, double slowdown) {
	}

}
