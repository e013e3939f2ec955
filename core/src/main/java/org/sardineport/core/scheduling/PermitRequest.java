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
 * Message from entry to owner: requests a permit to run a request on a backend server. It
 * is repeated while the request waits, so that a lost reply is sent again. The owner
 * identifies repeated messages by the identity of the request.
 *
 * @param request identity of the request
 * @param backendServer backend server on which it would run
 * @param pool pool of the backend server
 * @param organisation organisation that sent it
 * @param tier its urgency
 * @param rank order within its tier and organisation, 0 for the first
 * @param estimate its size in tokens
 * @param prefixHash hash of the prompt's first block; 0 if none
 * @param runningPolicy whether and how it may be interrupted once it runs
 * @param fingerprint hash that identifies repetitions of a request
 * @param remaining time remaining until the deadline
 * @param targetStartWithin remaining time after which a start is late for the caller
 * @param startWithin remaining time for which the caller waits for a start
 * @param mayPreempt whether lower-tier runs may be preempted if there is no room, because
 * the entry knows of no backend server with room
 */
public record PermitRequest(RequestId request, BackendServerId backendServer, PoolName pool,
		OrganisationId organisation, Tier tier, int rank, TokenEstimate estimate, long prefixHash,
		RunningPolicy runningPolicy, Fingerprint fingerprint, Duration remaining, Duration targetStartWithin,
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
		Objects.requireNonNull(targetStartWithin, "targetStartWithin must not be null");
		Objects.requireNonNull(startWithin, "startWithin must not be null");
	}

}
