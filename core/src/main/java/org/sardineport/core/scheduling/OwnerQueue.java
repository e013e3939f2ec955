package org.sardineport.core.scheduling;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.identity.RequestId;
import org.sardineport.core.request.Tier;

/**
 * Requests that wait for a permit of one backend server: by tier, then by organisation,
 * then by deadline. Not safe for use by several threads.
 */
final class OwnerQueue {

	private final Map<Tier, OrganisationQueue> tiers = new EnumMap<>(Tier.class);

	private final Map<RequestId, WaitingRequest> requests = new HashMap<>();

	OwnerQueue() {
		for (Tier tier : Tier.values()) {
			this.tiers.put(tier, new OrganisationQueue());
		}
	}

	void add(WaitingRequest waiting) {
		this.requests.put(waiting.ask().request(), waiting);
		tier(waiting.ask().tier()).add(waiting);
	}

	int size() {
		return this.requests.size();
	}

	/**
	 * Counts the requests that go before a new one of the given tier.
	 * @param tier the tier
	 * @return the number of those that are as urgent or more
	 */
	int sizeUpTo(Tier tier) {
		if (this.requests.isEmpty()) {
			return 0;
		}
		int size = 0;
		for (Tier each : Tier.values()) {
			size += (tier.isMoreUrgentThan(each)) ? 0 : tier(each).size();
		}
		return size;
	}

	boolean isWaiting(Tier tier) {
		return tier(tier).size() > 0;
	}

	@Nullable WaitingRequest get(RequestId request) {
		return (this.requests.isEmpty()) ? null : this.requests.get(request);
	}

	/**
	 * Returns the request whose turn it is, which stays in the queue.
	 * @return the request, or {@code null} if none waits
	 */
	@Nullable WaitingRequest peek() {
		if (this.requests.isEmpty()) {
			return null;
		}
		for (OrganisationQueue queue : this.tiers.values()) {
			if (queue.size() > 0) {
				return queue.peek();
			}
		}
		return null;
	}

	void take(WaitingRequest waiting) {
		tier(waiting.ask().tier()).take(waiting);
		this.requests.remove(waiting.ask().request());
	}

	void remove(WaitingRequest waiting) {
		tier(waiting.ask().tier()).remove(waiting);
		this.requests.remove(waiting.ask().request());
	}

	/**
	 * Takes out all requests for which a condition holds.
	 * @param condition the condition
	 * @return those taken out
	 */
	List<WaitingRequest> removeIf(Predicate<WaitingRequest> condition) {
		List<WaitingRequest> found = this.requests.values().stream().filter(condition).toList();
		found.forEach(this::remove);
		return found;
	}

	private OrganisationQueue tier(Tier tier) {
		OrganisationQueue queue = this.tiers.get(tier);
		if (queue == null) {
			throw new IllegalStateException("no queue for tier " + tier);
		}
		return queue;
	}

}
