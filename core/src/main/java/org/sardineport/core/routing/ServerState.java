package org.sardineport.core.routing;

import java.util.Objects;

import org.sardineport.core.identity.BackendServerId;

/**
 * State of a backend server as its owner knows it.
 *
 * @param backendServer the backend server
 * @param running permits that are out
 * @param waiting requests that wait for a permit
 * @param limit permits that may be out at once for lower tiers
 * @param lowerTierRunning whether a permit below the top tier is out
 * @param isolated whether it gets no permits but probes
 * @param probeDue whether it is isolated and waits for a probe
 * @param prefillBacklogMillis time until the prompts granted so far are prefilled
 * @param serviceMillis mean duration of a run
 * @param speed its learned speed
 */
public record ServerState(BackendServerId backendServer, int running, int waiting, int limit, boolean lowerTierRunning,
		boolean isolated, boolean probeDue, long prefillBacklogMillis, long serviceMillis, Speed speed) {

	/**
	 * Creates the record.
	 */
	public ServerState {
		Objects.requireNonNull(backendServer, "backendServer must not be null");
		Objects.requireNonNull(speed, "speed must not be null");
	}

}
