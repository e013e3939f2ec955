package org.sardineport.core.relay;

import java.util.Objects;

import org.sardineport.core.identity.PoolName;

/**
 * What is configured of the backend servers of one pool.
 *
 * @param name the pool
 * @param tokensPerEvent tokens that one event of a stream holds, at least 1
 */
public record RelayPool(PoolName name, int tokensPerEvent) {

	/**
	 * Creates the pool.
	 */
	public RelayPool {
		Objects.requireNonNull(name, "name must not be null");
		tokensPerEvent = Math.max(1, tokensPerEvent);
	}

}
