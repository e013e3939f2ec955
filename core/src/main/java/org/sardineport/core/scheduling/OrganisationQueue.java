package org.sardineport.core.scheduling;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeSet;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.identity.OrganisationId;

/**
 * Queue of the requests of one tier. Organisations are served by deficit round robin over
 * estimated tokens, so that each gets the same share of tokens regardless of how many
 * requests it sends. Requests of one organisation are ordered by rank, target start time
 * and deadline. Not thread-safe.
 */
final class OrganisationQueue {

	/** Tokens added to an organisation's deficit in each round. */
	private static final int QUANTUM = 2048;

	/**
	 * Cost added to the tokens of every request, so that calls without tokens count too.
	 */
	private static final int REQUEST_OVERHEAD_TOKENS = 64;

	private static final Comparator<WaitingRequest> BY_URGENCY = Comparator
		.comparingInt((WaitingRequest waiting) -> waiting.permitRequest().rank())
		.thenComparingLong(WaitingRequest::targetStartBy)
		.thenComparingLong(WaitingRequest::deadline)
		.thenComparing((waiting) -> waiting.permitRequest().request());

	private final Map<OrganisationId, Flow> flows = new HashMap<>();

	private final Deque<Flow> activeFlows = new ArrayDeque<>();

	private int size;

	void add(WaitingRequest waiting) {
		Flow flow = this.flows.computeIfAbsent(waiting.permitRequest().organisation(), this::newFlow);
		if (flow.requests.add(waiting)) {
			this.size++;
		}
	}

	private Flow newFlow(OrganisationId organisation) {
		Flow flow = new Flow(organisation);
		this.activeFlows.addLast(flow);
		return flow;
	}

	int size() {
		return this.size;
	}

	/**
	 * Returns the request to serve next without removing it.
	 * @return the request, or {@code null} if the queue is empty
	 */
	@Nullable WaitingRequest peek() {
		while (!this.activeFlows.isEmpty()) {
			Flow flow = this.activeFlows.getFirst();
			WaitingRequest first = flow.requests.first();
			if (cost(first) <= flow.deficit) {
				return first;
			}
			flow.deficit += QUANTUM;
			this.activeFlows.addLast(this.activeFlows.removeFirst());
		}
		return null;
	}

	/**
	 * Removes a request and charges its cost to its organisation.
	 * @param waiting the request that {@link #peek()} returned
	 */
	void take(WaitingRequest waiting) {
		Flow flow = this.flows.get(waiting.permitRequest().organisation());
		if (flow != null) {
			flow.deficit -= cost(waiting);
			remove(waiting);
		}
	}

	/**
	 * Removes a request without charging its organisation. Has no effect if it is not
	 * queued.
	 * @param waiting the request
	 */
	void remove(WaitingRequest waiting) {
		Flow flow = this.flows.get(waiting.permitRequest().organisation());
		if (flow == null || !flow.requests.remove(waiting)) {
			return;
		}
		this.size--;
		if (flow.requests.isEmpty()) {
			this.flows.remove(flow.organisation);
			this.activeFlows.remove(flow);
		}
	}

	private static int cost(WaitingRequest waiting) {
		return waiting.permitRequest().estimate().total() + REQUEST_OVERHEAD_TOKENS;
	}

	/**
	 * Queued requests and remaining deficit of one organisation.
	 */
	private static final class Flow {

		private final OrganisationId organisation;

		private final TreeSet<WaitingRequest> requests = new TreeSet<>(BY_URGENCY);

		private long deficit;

		Flow(OrganisationId organisation) {
			this.organisation = organisation;
		}

	}

}
