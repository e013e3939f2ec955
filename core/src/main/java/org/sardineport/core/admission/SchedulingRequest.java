package org.sardineport.core.admission;

import java.time.Instant;
import java.util.List;
import java.util.Objects;
import java.util.Set;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.backend.SoftwareVersion;
import org.sardineport.core.identity.BackendServerId;
import org.sardineport.core.identity.OrganisationId;
import org.sardineport.core.identity.PoolName;
import org.sardineport.core.identity.RequestId;
import org.sardineport.core.limit.OrganisationLimit;
import org.sardineport.core.quarantine.RequestSuspects;
import org.sardineport.core.request.Fingerprint;
import org.sardineport.core.request.RunningPolicy;
import org.sardineport.core.request.Tier;
import org.sardineport.core.request.TokenEstimate;

/**
 * Properties of a request that the scheduler uses.
 *
 * @param id identity of the request
 * @param pool pool whose backend servers can run the request
 * @param organisation organisation that sent the request
 * @param tier tier of the request
 * @param rank rank within its tier and organisation; 0 is served first
 * @param estimate estimated size in tokens
 * @param prefixHash hash of the prompt's first block, for cache affinity; 0 if none
 * @param fingerprint hash that identifies repeated requests
 * @param runningPolicy whether and how the request may be interrupted once it runs
 * @param organisationLimit fleet-wide limit of the organisation
 * @param organisationTokens tokens that the request takes from that limit
 * @param excludedServers backend servers excluded because the request failed on them
 * before, or because they want no requests now
 * @param requiredVersion software version of the backend servers that can run the
 * request, as it continues a stream of that version; {@code null} if any can
 * @param promptParts fingerprints of the parts of its prompt that other requests may
 * share
 * @param arrival time at which the request was received
 * @param startDeadlines times by which the request should start
 * @param deadline time by which the response must be complete
 */
public record SchedulingRequest(RequestId id, PoolName pool, OrganisationId organisation, Tier tier, int rank,
		TokenEstimate estimate, long prefixHash, Fingerprint fingerprint, RunningPolicy runningPolicy,
		OrganisationLimit organisationLimit, long organisationTokens, Set<BackendServerId> excludedServers,
		@Nullable SoftwareVersion requiredVersion, List<Fingerprint> promptParts, Instant arrival,
		StartDeadlines startDeadlines, Instant deadline) {

	/**
	 * Creates the request and checks that its parts are present.
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
		excludedServers = Set.copyOf(excludedServers);
		promptParts = List.copyOf(promptParts);
		Objects.requireNonNull(arrival, "arrival must not be null");
		Objects.requireNonNull(startDeadlines, "startDeadlines must not be null");
		Objects.requireNonNull(deadline, "deadline must not be null");
	}

	/**
	 * Creates a request that can run on backend servers of any software version.
	 * @param id identity of the request
	 * @param pool pool whose backend servers can run the request
	 * @param organisation organisation that sent the request
	 * @param tier tier of the request
	 * @param rank rank within its tier and organisation; 0 is served first
	 * @param estimate estimated size in tokens
	 * @param prefixHash hash of the prompt's first block, for cache affinity; 0 if none
	 * @param fingerprint hash that identifies repeated requests
	 * @param runningPolicy whether and how the request may be interrupted once it runs
	 * @param organisationLimit fleet-wide limit of the organisation
	 * @param organisationTokens tokens that the request takes from that limit
	 * @param excludedServers backend servers excluded because the request failed on them
	 * before, or because they want no requests now
	 * @param arrival time at which the request was received
	 * @param startDeadlines times by which the request should start
	 * @param deadline time by which the response must be complete
	 */
	public SchedulingRequest(RequestId id, PoolName pool, OrganisationId organisation, Tier tier, int rank,
			TokenEstimate estimate, long prefixHash, Fingerprint fingerprint, RunningPolicy runningPolicy,
			OrganisationLimit organisationLimit, long organisationTokens, Set<BackendServerId> excludedServers,
			Instant arrival, StartDeadlines startDeadlines, Instant deadline) {
		this(id, pool, organisation, tier, rank, estimate, prefixHash, fingerprint, runningPolicy, organisationLimit,
				organisationTokens, excludedServers, null, List.of(), arrival, startDeadlines, deadline);
	}

	/**
	 * Creates a request of rank 0 that may start until its deadline, takes its estimated
	 * tokens from the organisation's limit and excludes no backend server.
	 * @param id identity of the request
	 * @param pool pool whose backend servers can run the request
	 * @param organisation organisation that sent the request
	 * @param tier tier of the request
	 * @param estimate estimated size in tokens
	 * @param prefixHash hash of the prompt's first block, for cache affinity; 0 if none
	 * @param fingerprint hash that identifies repeated requests
	 * @param runningPolicy whether and how the request may be interrupted once it runs
	 * @param organisationTokensPerSecond fleet-wide limit of the organisation in tokens
	 * per second; 0 for no limit
	 * @param arrival time at which the request was received
	 * @param deadline time by which the response must be complete
	 */
	public SchedulingRequest(RequestId id, PoolName pool, OrganisationId organisation, Tier tier,
			TokenEstimate estimate, long prefixHash, Fingerprint fingerprint, RunningPolicy runningPolicy,
			long organisationTokensPerSecond, Instant arrival, Instant deadline) {
		this(id, pool, organisation, tier, 0, estimate, prefixHash, fingerprint, runningPolicy,
				OrganisationLimit.rate(organisationTokensPerSecond), estimate.total(), Set.of(), arrival,
				StartDeadlines.until(deadline), deadline);
	}

	/**
	 * Returns this request, bound to backend servers of one software version.
	 * @param version the version that a backend server must be listed with to run it;
	 * {@link SoftwareVersion#UNKNOWN} for those listed without one
	 * @return a copy
	 */
	public SchedulingRequest withRequiredVersion(SoftwareVersion version) {
		Objects.requireNonNull(version, "version must not be null");
		return new SchedulingRequest(this.id, this.pool, this.organisation, this.tier, this.rank, this.estimate,
				this.prefixHash, this.fingerprint, this.runningPolicy, this.organisationLimit, this.organisationTokens,
				this.excludedServers, version, this.promptParts, this.arrival, this.startDeadlines, this.deadline);
	}

	/**
	 * Returns this request with the shared parts of its prompt.
	 * @param parts fingerprints of the parts
	 * @return a copy
	 */
	public SchedulingRequest withPromptParts(List<Fingerprint> parts) {
		return new SchedulingRequest(this.id, this.pool, this.organisation, this.tier, this.rank, this.estimate,
				this.prefixHash, this.fingerprint, this.runningPolicy, this.organisationLimit, this.organisationTokens,
				this.excludedServers, this.requiredVersion, parts, this.arrival, this.startDeadlines, this.deadline);
	}

	/**
	 * Returns all that may be to blame if this request crashes a backend server.
	 * @return the request and the parts of its prompt
	 */
	public RequestSuspects suspects() {
		return RequestSuspects.of(this.fingerprint, this.promptParts);
	}

	/**
	 * Returns the rate of the organisation's limit.
	 * @return tokens per second over the whole fleet; 0 for no limit
	 */
	public long organisationTokensPerSecond() {
		return this.organisationLimit.tokensPerSecond();
	}

}
