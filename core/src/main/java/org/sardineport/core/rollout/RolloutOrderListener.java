package org.sardineport.core.rollout;

import org.sardineport.core.identity.PoolName;

/**
 * Is notified of the operators' orders. Implementations must not block.
 */
public interface RolloutOrderListener {

	/** Ignores all orders. */
	RolloutOrderListener NONE = new RolloutOrderListener() {

		@Override
		public void ordered(RolloutOrder order) {
			// No rollouts are followed.
		}

		@Override
		public void withdrawn(PoolName pool) {
			// No rollouts are followed.
		}

		@Override
		public void ordersRead() {
			// No rollouts are followed.
		}

	};

	/**
	 * Called with the newest order of a pool, possibly again.
	 * @param order the order
	 */
	void ordered(RolloutOrder order);

	/**
	 * Called when the order of a pool was deleted.
	 * @param pool the pool
	 */
	void withdrawn(PoolName pool);

	/**
	 * Called after each read, once all orders that it found were passed on.
	 */
	void ordersRead();

}
