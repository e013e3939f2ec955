package org.sardineport.core.relay;

import java.util.Objects;

import org.sardineport.core.identity.PoolName;

/**
 * Configuration of one pool of backend servers.
 *
 * @param name name of the pool
 * @param tokensPerEvent tokens in one event of a stream; smaller values are raised to 1
 */
public record RelayPool(PoolName name, int tokensPerEvent) {

	/**
	 * Creates the pool; raises {@code tokensPerEvent} to at least 1.
	 */
	public RelayPool {
		Objects.requireNonNull(name, "name must not be null");
		tokensPerEvent = Math.max(1, tokensPerEvent);
	}

}
