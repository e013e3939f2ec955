package org.sardineport.core.routing;

import java.util.Objects;

import org.sardineport.core.request.TokenEstimate;

/**
 * What the choice of a backend server needs to know of a request.
 *
 * @param estimate its size
 * @param top whether it is of the top tier
 * @param mayProbe whether it may be the probe of an isolated backend server
 * @param prefixHash hash of the prompt's first block; 0 if none
 * @param remainingMillis time left until its deadline
 * @param prefersEarlyStart whether its caller minds more when the answer begins than when
 * it ends
 */
public record RoutingRequest(TokenEstimate estimate, boolean top, boolean mayProbe, long prefixHash,
		long remainingMillis, boolean prefersEarlyStart) {

	/**
	 * Creates the request.
	 */
	public RoutingRequest {
		Objects.requireNonNull(estimate, "estimate must not be null");
	}

	/**
	 * Creates a request whose caller minds only when the answer ends.
	 * @param estimate its size
	 * @param top whether it is of the top tier
	 * @param mayProbe whether it may be the probe of an isolated backend server
	 * @param prefixHash hash of the prompt's first block; 0 if none
	 * @param remainingMillis time left until its deadline
	 */
	public RoutingRequest(TokenEstimate estimate, boolean top, boolean mayProbe, long prefixHash,
			long remainingMillis) {
		this(estimate, top, mayProbe, prefixHash, remainingMillis, false);
	}

}
