package org.sardineport.core.admission;

import java.time.Instant;
import java.util.Objects;
import java.util.Set;

import org.sardineport.core.identity.BackendServerId;
import org.sardineport.core.identity.OrganisationId;
import org.sardineport.core.identity.PoolName;
import org.sardineport.core.identity.RequestId;
import org.sardineport.core.limit.OrganisationLimit;
import org.sardineport.core.request.Fingerprint;
import org.sardineport.core.request.RunningPolicy;
import org.sardineport.core.request.Tier;
import org.sardineport.core.request.TokenEstimate;

/**
 * All that scheduling needs to know of a request.
 *
 * @param id identity of the request
 * @param pool pool whose backend servers can run it
 * @param organisation organisation that sent it
 * @param tier its urgency
 * @param rank order within its tier and organisation, 0 for the first
 * @param estimate its size in tokens
 * @param prefixHash hash of the prompt's first block, for cache affinity; 0 if none
 * @param fingerprint hash by which a repeated request is known
 * @param runningPolicy what may be done to it once it runs
 * @param organisationLimit fleet-wide limit of the organisation
 * @param organisationTokens tokens that it takes from that limit
 * @param avoided backend servers that it is not sent to, as they failed it before
 * @param arrival when it was received
 * @param patience until when it is of use to begin it
 * @param deadline when its answer must be complete
 */
public record SchedulingRequest(RequestId id, PoolName pool, OrganisationId organisation, Tier tier, int rank,
		TokenEstimate estimate, long prefixHash, Fingerprint fingerprint, RunningPolicy runningPolicy,
		OrganisationLimit organisationLimit, long organisationTokens, Set<BackendServerId> avoided, Instant arrival,
		Patience patience, Instant deadline) {

	/**
	 * Creates the request.
	 */
	public SchedulingRequest {
		Objects.requireNonNull(id, "id must not be null");
		Objects.requireNonNull(pool, "pool must not be null");
		Objects.requireNonNull(organisation, "organisation must not be null");
		Objects.requireNonNull(tier, "tier must not be null");
		Objects.requireNonNull(estimate, "estimate must not be null");
		Objects.requireNonNull(fingerprint, "fingerprint must not be null");
		Objects.requireNonNull(runningPolicy, "runningPolicy must not be null");
		Objects.requireNonNull(organisationLimit, "organisationLimit must not be null");
		avoided = Set.copyOf(avoided);
		Objects.requireNonNull(arrival, "arrival must not be null");
		Objects.requireNonNull(patience, "patience must not be null");
		Objects.requireNonNull(deadline, "deadline must not be null");
	}

	/**
	 * Creates the request of a caller who waits as long as its deadline allows, whose
	 * estimate is what it takes from its organisation's limit.
	 * @param id identity of the request
	 * @param pool pool whose backend servers can run it
	 * @param organisation organisation that sent it
	 * @param tier its urgency
	 * @param estimate its size in tokens
	 * @param prefixHash hash of the prompt's first block, for cache affinity; 0 if none
	 * @param fingerprint hash by which a repeated request is known
	 * @param runningPolicy what may be done to it once it runs
	 * @param organisationTokensPerSecond fleet-wide limit of the organisation in tokens a
	 * second; 0 for none
	 * @param arrival when it was received
	 * @param deadline when its answer must be complete
	 */
	public SchedulingRequest(RequestId id, PoolName pool, OrganisationId organisation, Tier tier,
			TokenEstimate estimate, long prefixHash, Fingerprint fingerprint, RunningPolicy runningPolicy,
			long organisationTokensPerSecond, Instant arrival, Instant deadline) {
		this(id, pool, organisation, tier, 0, estimate, prefixHash, fingerprint, runningPolicy,
				OrganisationLimit.rate(organisationTokensPerSecond), estimate.total(), Set.of(), arrival,
				Patience.until(deadline), deadline);
	}

	/**
	 * Returns the rate of the organisation's limit.
	 * @return tokens a second over the whole fleet; 0 for no limit
	 */
	public long organisationTokensPerSecond() {
		return this.organisationLimit.tokensPerSecond();
	}

}
