package org.sardineport.core.routing;

import java.util.Objects;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.backend.SoftwareVersion;
import org.sardineport.core.request.TokenEstimate;

/**
 * Properties of a request by which a backend server is selected.
 *
 * @param estimate estimated size in tokens
 * @param topTier whether the request is in the top tier
 * @param mayProbe whether the request may be used as the probe of an isolated backend
 * server
 * @param prefixHash hash of the prompt's first block; 0 if none
 * @param remainingMillis milliseconds remaining until the deadline
 * @param prefersEarlyStart whether an early start of the response matters more to the
 * caller than an early end
 * @param requiredVersion software version of the backend servers that can run the
 * request; {@code null} if any can
 */
public record RoutingRequest(TokenEstimate estimate, boolean topTier, boolean mayProbe, long prefixHash,
		long remainingMillis, boolean prefersEarlyStart, @Nullable SoftwareVersion requiredVersion) {

	/**
	 * Creates the request and checks that {@code estimate} is present.
	 */
	public RoutingRequest {
		Objects.requireNonNull(estimate, "estimate must not be null");
	}

	/**
	 * Returns whether backend servers of a software version can run the request.
	 * @param version the version with which a backend server is listed
	 * @return whether it is the required one, or any can
	 */
	public boolean acceptsVersion(SoftwareVersion version) {
		return version.satisfies(this.requiredVersion);
	}

	/**
	 * Creates a request for any software version whose caller cares only about the end of
	 * the response.
	 * @param estimate estimated size in tokens
	 * @param topTier whether the request is in the top tier
	 * @param mayProbe whether the request may be used as the probe of an isolated backend
	 * server
	 * @param prefixHash hash of the prompt's first block; 0 if none
	 * @param remainingMillis milliseconds remaining until the deadline
	 */
	public RoutingRequest(TokenEstimate estimate, boolean topTier, boolean mayProbe, long prefixHash,
			long remainingMillis) {
		this(estimate, topTier, mayProbe, prefixHash, remainingMillis, false, null);
	}

}
