package org.sardineport.core.relay;

import java.time.Duration;
import java.util.List;
import java.util.Objects;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.identity.PoolName;
import org.sardineport.core.request.Tier;

/**
 * Configuration of the requests with one host and path prefix.
 *
 * @param name name of the route, for logs
 * @param host host named by callers, without a port
 * @param pathPrefix prefix of the paths; begins and ends with a slash
 * @param rerunPolicy whether its requests may run more than once
 * @param streams whether responses are event streams
 * @param timeout maximum time for a request, until the end of its response; positive
 * @param objective latency objective: the response, or the first event of a stream, has
 * full value to the caller within this time; equals the timeout if none was configured
 * @param rank urgency; 0 is the most urgent
 * @param pools pools in which its requests run; at least one has a weight above 0
 * @param maximumAttempts number of backend servers to which one request may be sent, at
 * least 1
 * @param open whether callers need no key
 */
public record RelayRoute(String name, String host, String pathPrefix, RerunPolicy rerunPolicy, boolean streams,
		Duration timeout, Duration objective, int rank, List<WeightedPool> pools, int maximumAttempts, boolean open) {

	private static final Tier[] TIER_OF_RANK = { Tier.INTERACTIVE, Tier.STANDARD, Tier.BATCH };

	/**
	 * Creates the route; validates its values.
	 * @throws IllegalArgumentException if a value is out of range
	 */
	public RelayRoute {
		Objects.requireNonNull(name, "name must not be null");
		Objects.requireNonNull(host, "host must not be null");
		Objects.requireNonNull(rerunPolicy, "rerunPolicy must not be null");
		Objects.requireNonNull(timeout, "timeout must not be null");
		Objects.requireNonNull(objective, "objective must not be null");
		pools = List.copyOf(pools);
		if (!pathPrefix.startsWith("/") || !pathPrefix.endsWith("/")) {
			throw new IllegalArgumentException(
					"pathPrefix must begin and end with a slash, found '%s'".formatted(pathPrefix));
		}
		if (timeout.isNegative() || timeout.isZero() || maximumAttempts < 1 || rank < 0) {
			throw new IllegalArgumentException(
					"timeout and maximumAttempts must be positive and rank not negative, found %s, %d and %d"
						.formatted(timeout, maximumAttempts, rank));
		}
		if (pools.stream().mapToInt(WeightedPool::weight).sum() <= 0) {
			throw new IllegalArgumentException("at least one pool must have a weight above 0, found " + pools);
		}
	}

	/**
	 * Returns the tier in which its requests are scheduled. The top tier is never used,
	 * because it preempts running requests. Ranks beyond the last tier map to the last
	 * tier.
	 * @param organisationRank urgency of the organisation, which overrides that of the
	 * route, or {@code null}
	 * @return the tier
	 */
	public Tier tier(@Nullable Integer organisationRank) {
		int urgency = (organisationRank != null) ? organisationRank : this.rank;
		return TIER_OF_RANK[Math.max(0, Math.min(urgency, TIER_OF_RANK.length - 1))];
	}

	/**
	 * Selects the pool of one request in proportion to the weights.
	 * @param draw a random number from 0 (inclusive) to 1 (exclusive)
	 * @return the pool
	 */
	public PoolName pool(double draw) {
		double remaining = draw * this.pools.stream().mapToInt(WeightedPool::weight).sum();
		for (WeightedPool candidate : this.pools) {
			remaining -= candidate.weight();
			if (remaining < 0) {
				return candidate.pool();
			}
		}
		return this.pools.get(this.pools.size() - 1).pool();
	}

}
