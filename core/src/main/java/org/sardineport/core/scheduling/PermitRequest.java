package org.sardineport.core.scheduling;

import java.time.Duration;
import java.util.Objects;

import org.sardineport.core.identity.BackendServerId;
import org.sardineport.core.identity.OrganisationId;
import org.sardineport.core.identity.PoolName;
import org.sardineport.core.identity.RequestId;
import org.sardineport.core.request.Fingerprint;
import org.sardineport.core.request.RunningPolicy;
import org.sardineport.core.request.Tier;
import org.sardineport.core.request.TokenEstimate;

/**
 * Entry to owner: may this request run on this backend server? Sent again while it waits,
 * so that a lost answer is given again; the owner knows it by its identity.
 *
 * @param request identity of the request
 * @param backendServer where it would run
 * @param pool pool of the backend server
 * @param organisation organisation that sent it
 * @param tier its urgency
 * @param rank order within its tier and organisation, 0 for the first
 * @param estimate its size in tokens
 * @param prefixHash hash of the prompt's first block; 0 if none
 * @param runningPolicy what may be done to it once it runs
 * @param fingerprint hash by which a repeated request is known
 * @param remaining time left until the deadline
 * @param promptWithin time left in which it begins in time for its caller
 * @param startWithin time left in which its caller still waits for it to begin
 * @param mayPreempt whether lower tiers should give way if there is no room, as the entry
 * knows of no backend server with room
 */
public record PermitRequest(RequestId request, BackendServerId backendServer, PoolName pool,
		OrganisationId organisation, Tier tier, int rank, TokenEstimate estimate, long prefixHash,
		RunningPolicy runningPolicy, Fingerprint fingerprint, Duration remaining, Duration promptWithin,
		Duration startWithin, boolean mayPreempt) implements SchedulingMessage {

	/**
	 * Creates the record.
	 */
	public PermitRequest {
		Objects.requireNonNull(request, "request must not be null");
		Objects.requireNonNull(backendServer, "backendServer must not be null");
		Objects.requireNonNull(pool, "pool must not be null");
		Objects.requireNonNull(organisation, "organisation must not be null");
		Objects.requireNonNull(tier, "tier must not be null");
		Objects.requireNonNull(estimate, "estimate must not be null");
		Objects.requireNonNull(runningPolicy, "runningPolicy must not be null");
		Objects.requireNonNull(fingerprint, "fingerprint must not be null");
		Objects.requireNonNull(remaining, "remaining must not be null");
		Objects.requireNonNull(promptWithin, "promptWithin must not be null");
		Objects.requireNonNull(startWithin, "startWithin must not be null");
	}

}
