package org.sardineport.core.scheduling;

import java.util.EnumMap;
import java.util.Map;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.request.Tier;

/**
 * Waiting requests by tier, then by organisation, then by urgency. Not safe for use by
 * several threads.
 */
final class TierQueues {

	private final Map<Tier, OrganisationQueue> tiers = new EnumMap<>(Tier.class);

	private int size;

	TierQueues() {
		for (Tier tier : Tier.values()) {
			this.tiers.put(tier, new OrganisationQueue());
		}
	}

	void add(WaitingRequest waiting) {
		tier(waiting.ask().tier()).add(waiting);
		count();
	}

	void take(WaitingRequest waiting) {
		tier(waiting.ask().tier()).take(waiting);
		count();
	}

	void remove(WaitingRequest waiting) {
		tier(waiting.ask().tier()).remove(waiting);
		count();
	}

	private void count() {
		this.size = this.tiers.values().stream().mapToInt(OrganisationQueue::size).sum();
	}

	int size() {
		return this.size;
	}

	int size(Tier tier) {
		return tier(tier).size();
	}

	/**
	 * Counts the requests that go before a new one of the given tier.
	 * @param tier the tier
	 * @return the number of those that are as urgent or more
	 */
	int sizeUpTo(Tier tier) {
		if (this.size == 0) {
			return 0;
		}
		int ahead = 0;
		for (Tier each : Tier.values()) {
			ahead += (tier.isMoreUrgentThan(each)) ? 0 : tier(each).size();
		}
		return ahead;
	}

	/**
	 * Returns the request whose turn it is, which stays in its queue.
	 * @return the request, or {@code null} if none waits
	 */
	@Nullable WaitingRequest peek() {
		for (OrganisationQueue queue : this.tiers.values()) {
			if (queue.size() > 0) {
				return queue.peek();
			}
		}
		return null;
	}

	private OrganisationQueue tier(Tier tier) {
		OrganisationQueue queue = this.tiers.get(tier);
		if (queue == null) {
			throw new IllegalStateException("no queue for tier " + tier);
		}
		return queue;
	}

}
