package org.sardineport.core.scheduling;

import java.util.EnumMap;
import java.util.Map;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.request.Tier;

/**
 * Waiting requests, ordered by tier, then by organisation, then by urgency. Not
 * thread-safe.
 */
final class TierQueues {

	private final Map<Tier, OrganisationQueue> queues = new EnumMap<>(Tier.class);

	private int size;

	TierQueues() {
		for (Tier tier : Tier.values()) {
			this.queues.put(tier, new OrganisationQueue());
		}
	}

	void add(WaitingRequest waiting) {
		queue(waiting.permitRequest().tier()).add(waiting);
		updateSize();
	}

	void take(WaitingRequest waiting) {
		queue(waiting.permitRequest().tier()).take(waiting);
		updateSize();
	}

	void remove(WaitingRequest waiting) {
		queue(waiting.permitRequest().tier()).remove(waiting);
		updateSize();
	}

	private void updateSize() {
		this.size = this.queues.values().stream().mapToInt(OrganisationQueue::size).sum();
	}

	int size() {
		return this.size;
	}

	int size(Tier tier) {
		return queue(tier).size();
	}

	/**
	 * Returns the number of requests that are served before a new one of the given tier.
	 * @param tier the tier
	 * @return the number of requests of the same or a more urgent tier
	 */
	int countAhead(Tier tier) {
		if (this.size == 0) {
			return 0;
		}
		int ahead = 0;
		for (Tier each : Tier.values()) {
			ahead += (tier.isMoreUrgentThan(each)) ? 0 : queue(each).size();
		}
		return ahead;
	}

	/**
	 * Returns the request to serve next without removing it.
	 * @return the request, or {@code null} if all queues are empty
	 */
	@Nullable WaitingRequest peek() {
		for (OrganisationQueue queue : this.queues.values()) {
			if (queue.size() > 0) {
				return queue.peek();
			}
		}
		return null;
	}

	private OrganisationQueue queue(Tier tier) {
		OrganisationQueue queue = this.queues.get(tier);
		if (queue == null) {
			throw new IllegalStateException("no queue for tier " + tier);
		}
		return queue;
	}

}
