package org.sardineport.core.scheduling;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.identity.RequestId;
import org.sardineport.core.request.Tier;

/**
 * Requests waiting for a permit of one backend server. Requests that can still start by
 * their target time go before late ones, so that one late request does not delay the
 * others too. Both groups are ordered by tier, then by organisation, then by urgency. Not
 * thread-safe.
 */
final class OwnerQueue {

	private final TierQueues onTime = new TierQueues();

	private final TierQueues late = new TierQueues();

	private final Set<RequestId> lateRequests = new HashSet<>();

	private final Map<RequestId, WaitingRequest> requests = new HashMap<>();

	void add(WaitingRequest waiting) {
		this.requests.put(waiting.permitRequest().request(), waiting);
		this.onTime.add(waiting);
	}

	/**
	 * Moves the requests whose target start time has passed behind the others.
	 * @param now the current time
	 */
	void demoteLate(long now) {
		if (this.onTime.size() == 0) {
			return;
		}
		for (WaitingRequest waiting : this.requests.values()) {
			if (waiting.targetStartBy() < now && this.lateRequests.add(waiting.permitRequest().request())) {
				this.onTime.remove(waiting);
				this.late.add(waiting);
			}
		}
	}

	int size() {
		return this.requests.size();
	}

	/**
	 * Returns the number of requests that can still start by their target time.
	 * @return the number
	 */
	int onTimeSize() {
		return this.onTime.size();
	}

	/**
	 * Returns the number of requests that are served before a new one of the given tier.
	 * @param tier the tier
	 * @return the number of on-time requests of the same or a more urgent tier
	 */
	int countAhead(Tier tier) {
		return this.onTime.countAhead(tier);
	}

	boolean hasWaiting(Tier tier) {
		return this.onTime.size(tier) + this.late.size(tier) > 0;
	}

	@Nullable WaitingRequest get(RequestId request) {
		return (this.requests.isEmpty()) ? null : this.requests.get(request);
	}

	/**
	 * Returns the request to serve next without removing it.
	 * @return the request, or {@code null} if the queue is empty
	 */
	@Nullable WaitingRequest peek() {
		if (this.requests.isEmpty()) {
			return null;
		}
		WaitingRequest first = this.onTime.peek();
		return (first != null) ? first : this.late.peek();
	}

	void take(WaitingRequest waiting) {
		queueOf(waiting).take(waiting);
		removeFromIndex(waiting);
	}

	void remove(WaitingRequest waiting) {
		queueOf(waiting).remove(waiting);
		removeFromIndex(waiting);
	}

	private TierQueues queueOf(WaitingRequest waiting) {
		return this.lateRequests.contains(waiting.permitRequest().request()) ? this.late : this.onTime;
	}

	private void removeFromIndex(WaitingRequest waiting) {
		this.requests.remove(waiting.permitRequest().request());
		this.lateRequests.remove(waiting.permitRequest().request());
	}

	/**
	 * Removes all requests that match a condition.
	 * @param condition the condition
	 * @return the removed requests
	 */
	List<WaitingRequest> removeIf(Predicate<WaitingRequest> condition) {
		List<WaitingRequest> removed = this.requests.values().stream().filter(condition).toList();
		removed.forEach(this::remove);
		return removed;
	}

}
