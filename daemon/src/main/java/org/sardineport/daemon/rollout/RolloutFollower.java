package org.sardineport.daemon.rollout;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.identity.DaemonId;
import org.sardineport.core.identity.PoolName;
import org.sardineport.core.rollout.PoolRollout;
import org.sardineport.core.rollout.RolloutAnnouncement;
import org.sardineport.core.rollout.StoredRollout;

/**
 * What this daemon does in each rollout, whoever coordinates it. Confined to the event
 * loop.
 */
interface RolloutFollower {

	/**
	 * Returns the rollout of a pool.
	 * @param pool the pool
	 * @return the rollout, over or not; {@code null} if none was ordered
	 */
	@Nullable PoolRollout rollout(PoolName pool);

	/**
	 * Follows an announcement, unless a later one was followed.
	 * @param rollout the rollout
	 * @param sender the daemon that announces
	 * @param announcement the announcement
	 */
	void follow(PoolRollout rollout, DaemonId sender, RolloutAnnouncement announcement);

	/**
	 * Follows the stored status of a rollout.
	 * @param rollout the rollout
	 * @param stored the status
	 * @return whether the rollout is over
	 */
	boolean followStored(PoolRollout rollout, StoredRollout stored);

}
