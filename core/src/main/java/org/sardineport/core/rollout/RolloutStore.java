package org.sardineport.core.rollout;

import java.util.concurrent.CompletionStage;

import org.sardineport.core.identity.PoolName;

/**
 * Stored states of rollouts, which operators read. Methods may be called from any thread
 * and do not block; stages complete on any thread and fail if the store cannot be
 * reached.
 */
public interface RolloutStore {

	/**
	 * Reads the newest status of a pool.
	 * @param pool the pool
	 * @return the status
	 */
	CompletionStage<StoredRollout> read(PoolName pool);

	/**
	 * Stores a status if no other record was stored since a read. After a failure it may
	 * be stored, also some time later, but only as the next record after that read.
	 * @param status the status
	 * @param next number that the record must get
	 * @return completes when it is stored; fails if another record has that number
	 */
	CompletionStage<Void> append(RolloutStatus status, long next);

}
