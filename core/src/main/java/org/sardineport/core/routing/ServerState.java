package org.sardineport.core.routing;

import java.util.Objects;

import org.sardineport.core.identity.BackendServerId;

/**
 * State of a backend server, as reported by its owner daemon.
 *
 * @param backendServer the backend server
 * @param running number of permits in use
 * @param waiting number of requests waiting for a permit
 * @param limit maximum number of concurrent permits for the tiers below the top tier
 * @param lowerTierRunning whether a permit of a tier below the top tier is in use
 * @param isolated whether only probes get permits
 * @param probeDue whether the backend server is isolated and due for a probe
 * @param prefillBacklogMillis milliseconds until the prompts with a permit are prefilled
 * @param serviceMillis mean duration of a run in milliseconds
 * @param speed estimated speed
 * @param startRate how soon further requests may start
 * @param requestShare share of permit requests that the owner wants to get, above 0 and
 * at most 1; the others would be read too late
 */
public record ServerState(BackendServerId backendServer, int running, int waiting, int limit, boolean lowerTierRunning,
		boolean isolated, boolean probeDue, long prefillBacklogMillis, long serviceMillis, Speed speed,
		StartRate startRate, double requestShare) {

	/**
	 * Creates the state and checks that its references are present.
	 */
	public ServerState {
		Objects.requireNonNull(backendServer, "backendServer must not be null");
		Objects.requireNonNull(speed, "speed must not be null");
		Objects.requireNonNull(startRate, "startRate must not be null");
	}

	/**
	 * Creates a state whose owner wants to get all permit requests.
	 * @param backendServer the backend server
	 * @param running number of permits in use
	 * @param waiting number of requests waiting for a permit
	 * @param limit maximum number of concurrent permits for the tiers below the top tier
	 * @param lowerTierRunning whether a permit of a tier below the top tier is in use
	 * @param isolated whether only probes get permits
	 * @param probeDue whether the backend server is isolated and due for a probe
	 * @param prefillBacklogMillis milliseconds until the prompts with a permit are
	 * prefilled
	 * @param serviceMillis mean duration of a run in milliseconds
	 * @param speed estimated speed
	 * @param startRate how soon further requests may start
	 */
	public ServerState(BackendServerId backendServer, int running, int waiting, int limit, boolean lowerTierRunning,
			boolean isolated, boolean probeDue, long prefillBacklogMillis, long serviceMillis, Speed speed,
			StartRate startRate) {
		this(backendServer, running, waiting, limit, lowerTierRunning, isolated, probeDue, prefillBacklogMillis,
				serviceMillis, speed, startRate, 1);
	}

	/**
	 * Returns this state with another share of permit requests.
	 * @param share the share that the owner wants to get, above 0 and at most 1
	 * @return a copy
	 */
	public ServerState withRequestShare(double share) {
		return new ServerState(this.backendServer, this.running, this.waiting, this.limit, this.lowerTierRunning,
				this.isolated, this.probeDue, this.prefillBacklogMillis, this.serviceMillis, this.speed, this.startRate,
				share);
	}

	/**
	 * Creates the state of a backend server that does not limit the rate of requests.
	 * @param backendServer the backend server
	 * @param running number of permits in use
	 * @param waiting number of requests waiting for a permit
	 * @param limit maximum number of concurrent permits for the tiers below the top tier
	 * @param lowerTierRunning whether a permit of a tier below the top tier is in use
	 * @param isolated whether only probes get permits
	 * @param probeDue whether the backend server is isolated and due for a probe
	 * @param prefillBacklogMillis milliseconds until the prompts with a permit are
	 * prefilled
	 * @param serviceMillis mean duration of a run in milliseconds
	 * @param speed estimated speed
	 */
	public ServerState(BackendServerId backendServer, int running, int waiting, int limit, boolean lowerTierRunning,
			boolean isolated, boolean probeDue, long prefillBacklogMillis, long serviceMillis, Speed speed) {
		this(backendServer, running, waiting, limit, lowerTierRunning, isolated, probeDue, prefillBacklogMillis,
				serviceMillis, speed, StartRate.UNLIMITED, 1);
	}

}
