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
 * Requests that wait for a permit of one backend server. Those that can still begin in
 * time for their callers go first, so that one late request does not make the next late
 * too; both kinds go by tier, then by organisation, then by urgency. Not safe for use by
 * several threads.
 */
final class OwnerQueue {

	private final TierQueues prompt = new TierQueues();

	private final TierQueues late = new TierQueues();

	private final Set<RequestId> lateRequests = new HashSet<>();

	private final Map<RequestId, WaitingRequest> requests = new HashMap<>();

	void add(WaitingRequest waiting) {
		this.requests.put(waiting.ask().request(), waiting);
		this.prompt.add(waiting);
	}

	/**
	 * Moves the requests behind the others that cannot begin in time any more.
	 * @param now the current time
	 */
	void age(long now) {
		if (this.prompt.size() == 0) {
			return;
		}
		for (WaitingRequest waiting : this.requests.values()) {
			if (waiting.promptBy() < now && this.lateRequests.add(waiting.ask().request())) {
				this.prompt.remove(waiting);
				this.late.add(waiting);
			}
		}
	}

	int size() {
		return this.requests.size();
	}

	/**
	 * Counts the requests that can still begin in time.
	 * @return the number
	 */
	int promptSize() {
		return this.prompt.size();
	}

	/**
	 * Counts the requests that go before a new one of the given tier.
	 * @param tier the tier
	 * @return the number of those that are as urgent or more and not late
	 */
	int sizeUpTo(Tier tier) {
		return this.prompt.sizeUpTo(tier);
	}

	boolean isWaiting(Tier tier) {
		return this.prompt.size(tier) + this.late.size(tier) > 0;
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
		WaitingRequest first = this.prompt.peek();
		return (first != null) ? first : this.late.peek();
	}

	void take(WaitingRequest waiting) {
		queueOf(waiting).take(waiting);
		forget(waiting);
	}

	void remove(WaitingRequest waiting) {
		queueOf(waiting).remove(waiting);
		forget(waiting);
	}

	private TierQueues queueOf(WaitingRequest waiting) {
		return this.lateRequests.contains(waiting.ask().request()) ? this.late : this.prompt;
	}

	private void forget(WaitingRequest waiting) {
		this.requests.remove(waiting.ask().request());
		this.lateRequests.remove(waiting.ask().request());
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

}
