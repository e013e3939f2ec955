package org.sardineport.core.rollout;

import org.sardineport.core.identity.PoolName;
import org.sardineport.core.port.peer.PeerMessage;

/**
 * Message between daemons about the rollout of one pool.
 */
public interface RolloutMessage extends PeerMessage {

	/**
	 * Returns the pool.
	 * @return the pool
	 */
	PoolName pool();

}
