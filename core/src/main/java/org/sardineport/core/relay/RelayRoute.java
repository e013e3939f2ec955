package org.sardineport.core.relay;

import java.time.Duration;
import java.util.List;
import java.util.Objects;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.identity.PoolName;
import org.sardineport.core.request.Tier;

/**
 * How the requests of one host and path prefix are served.
 *
 * @param name name of the route, for logs
 * @param host host that callers name, without a port
 * @param pathPrefix prefix of the paths; begins and ends with a slash
 * @param repetition whether its requests may run again
 * @param streams whether answers are streams of events
 * @param timeout longest time that a caller is kept waiting for the end of the answer
 * @param objective time within which the answer, or the first event of a stream, is of
 * full use to the caller; the timeout if none was set
 * @param rank urgency, 0 for the most urgent
 * @param pools where its requests run; at least one has a weight above 0
 * @param maximumAttempts backend servers to which one request may be sent, at least 1
 * @param open whether callers need no key
 */
public record RelayRoute(String name, String host, String pathPrefix, Repetition repetition, boolean streams,
		Duration timeout, Duration objective, int rank, List<WeightedPool> pools, int maximumAttempts, boolean open) {

	private static final Tier[] TIER_OF_RANK = { Tier.INTERACTIVE, Tier.STANDARD, Tier.BATCH };

	/**
	 * Creates the route.
	 * @throws IllegalArgumentException if a value is out of range
	 */
	public RelayRoute {
		Objects.requireNonNull(name, "name must not be null");
		Objects.requireNonNull(host, "host must not be null");
		Objects.requireNonNull(repetition, "repetition must not be null");
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
			throw new IllegalArgumentException("one pool at least must have a weight above 0, found " + pools);
		}
	}

	/**
	 * Returns the tier in which its requests are scheduled. The top tier is left out, as
	 * it takes the places of others that run.
	 * @param organisationRank urgency that the organisation has whatever the route says,
	 * or {@code null}
	 * @return the tier
	 */
	public Tier tier(@Nullable Integer organisationRank) {
		int urgency = (organisationRank != null) ? organisationRank : this.rank;
		return TIER_OF_RANK[Math.max(0, Math.min(urgency, TIER_OF_RANK.length - 1))];
	}

	/**
	 * Chooses the pool of one request.
	 * @param draw a random number, from 0 up to but not including 1
	 * @return the pool
	 */
	public PoolName pool(double draw) {
		double left = draw * this.pools.stream().mapToInt(WeightedPool::weight).sum();
		for (WeightedPool each : this.pools) {
			left -= each.weight();
			if (left < 0) {
				return each.pool();
			}
		}
		return this.pools.get(this.pools.size() - 1).pool();
	}

}
