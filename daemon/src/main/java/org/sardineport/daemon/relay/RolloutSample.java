package org.sardineport.daemon.relay;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.admission.SchedulingRequest;
import org.sardineport.core.backend.BackendServer;
import org.sardineport.core.backend.SoftwareVersion;
import org.sardineport.core.identity.PoolName;
import org.sardineport.daemon.rollout.RolloutService;

/**
 * Binds the first attempt of a request to the version that a rollout brings in, if the
 * request is drawn into its sample. Callers are served by the other versions if that
 * attempt gets no permit or fails. Confined to the event loop.
 */
final class RolloutSample {

	private final RolloutService rollouts;

	private final PoolName pool;

	private boolean drawn;

	private @Nullable SoftwareVersion version;

	RolloutSample(RolloutService rollouts, PoolName pool) {
		this.rollouts = rollouts;
		this.pool = pool;
	}

	/**
	 * Binds a request for a permit.
	 * @param request the request
	 * @param attempts number of attempts before
	 * @return the request, bound if it is in the sample
	 */
	SchedulingRequest restrict(SchedulingRequest request, int attempts) {
		if (!this.drawn && request.requiredVersion() == null && attempts == 0) {
			this.version = this.rollouts.sample(this.pool).orElse(null);
		}
		this.drawn = true;
		if (attempts > 0) {
			this.version = null;
		}
		SoftwareVersion bound = this.version;
		return (bound != null && request.requiredVersion() == null) ? request.withRequiredVersion(bound) : request;
	}

	/**
	 * Takes the request out of the sample.
	 * @return whether it was in the sample
	 */
	boolean leave() {
		boolean was = this.version != null;
		this.version = null;
		return was;
	}

	/**
	 * Returns whether a backend server may still run the request.
	 * @param server the backend server
	 * @param request the request for the permit
	 * @return whether its version takes it
	 */
	boolean allows(BackendServer server, SchedulingRequest request) {
		return server.softwareVersion().satisfies(request.requiredVersion())
				&& this.rollouts.takes(server, request.requiredVersion());
	}

}
