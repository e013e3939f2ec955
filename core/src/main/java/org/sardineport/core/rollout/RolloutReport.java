package org.sardineport.core.rollout;

import java.util.Map;
import java.util.Objects;

import org.sardineport.core.identity.PoolName;

/**
 * What one daemon has seen of a rollout since the order or its own start. Counts only
 * grow, so that a later report includes a lost one.
 *
 * @param pool the pool
 * @param revision number of the order
 * @param term claim of the coordinator that the daemon follows; 0 if none
 * @param phase phase that the daemon applies to new work
 * @param targetSent requests that it has sent to the target
 * @param sent requests that it has sent to any version
 * @param othersInFlight requests that run at other versions, or may
 * @param routes evidence by name of the route
 */
public record RolloutReport(PoolName pool, long revision, long term, RolloutPhase phase, int targetSent, int sent,
		int othersInFlight, Map<String, RouteEvidence> routes) implements RolloutMessage {

	/** Maximum number of routes in a report. */
	public static final int MAX_ROUTES = 12;

	/**
	 * Creates the report.
	 * @throws IllegalArgumentException if a count is negative
	 */
	public RolloutReport {
		Objects.requireNonNull(pool, "pool must not be null");
		Objects.requireNonNull(phase, "phase must not be null");
		routes = Map.copyOf(routes);
		if (targetSent < 0 || sent < 0 || othersInFlight < 0) {
			throw new IllegalArgumentException(
					"counts must not be negative, found %d, %d and %d".formatted(targetSent, sent, othersInFlight));
		}
	}

	/**
	 * Returns whether the daemon sends no new work to other versions than the target, and
	 * has none there.
	 * @param atLeast the claim that it must follow
	 * @return whether the other versions may stop as far as it is concerned
	 */
	boolean hasLeftOthers(long atLeast) {
		return this.term >= atLeast && this.phase == RolloutPhase.FULL && this.othersInFlight == 0;
	}

}
