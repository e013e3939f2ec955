package org.sardineport.core.rollout;

import java.time.Duration;
import java.util.Objects;

import org.sardineport.core.identity.PoolName;

/**
 * Tells all daemons how far a rollout has come. Repeated by the coordinator, so that its
 * silence shows.
 *
 * @param pool the pool
 * @param stage how far it has come
 * @param age time since the order
 * @param interval time until it is repeated
 */
public record RolloutAnnouncement(PoolName pool, RolloutStage stage, Duration age,
		Duration interval) implements RolloutMessage {

	/**
	 * Creates the announcement.
	 */
	public RolloutAnnouncement {
		Objects.requireNonNull(pool, "pool must not be null");
		Objects.requireNonNull(stage, "stage must not be null");
		Objects.requireNonNull(age, "age must not be null");
		Objects.requireNonNull(interval, "interval must not be null");
	}

}
