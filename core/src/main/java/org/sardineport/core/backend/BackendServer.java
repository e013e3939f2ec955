package org.sardineport.core.backend;

import java.util.Objects;

import org.sardineport.core.identity.BackendServerId;
import org.sardineport.core.identity.FailureDomain;
import org.sardineport.core.identity.NetworkAddress;
import org.sardineport.core.identity.PoolName;

/**
 * One backend server as the platform lists it.
 *
 * @param id its name
 * @param kind what it is
 * @param pool the pool it serves
 * @param failureDomain where it is
 * @param address where it listens
 * @param nominalConcurrency requests it is meant to run at once, at least 1
 */
public record BackendServer(BackendServerId id, BackendKind kind, PoolName pool, FailureDomain failureDomain,
		NetworkAddress address, int nominalConcurrency) {

	/**
	 * Creates the backend server.
	 * @throws IllegalArgumentException if the concurrency is less than 1
	 */
	public BackendServer {
		Objects.requireNonNull(id, "id must not be null");
		Objects.requireNonNull(kind, "kind must not be null");
		Objects.requireNonNull(pool, "pool must not be null");
		Objects.requireNonNull(failureDomain, "failureDomain must not be null");
		Objects.requireNonNull(address, "address must not be null");
		if (nominalConcurrency < 1) {
			throw new IllegalArgumentException(
					"nominalConcurrency must be at least 1, found %d".formatted(nominalConcurrency));
		}
	}

}
