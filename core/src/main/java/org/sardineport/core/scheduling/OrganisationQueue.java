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
 * Requests of one tier. Organisations take turns by deficit round robin over estimated
 * tokens, so that each gets the same share of tokens however many requests it sends;
 * requests of one organisation go by deadline. Not safe for use by several threads.
 */
final class OrganisationQueue {

	/** Tokens that an organisation may spend in each round. */
	private static final int QUANTUM = 2048;

	/** Cost of a request besides its tokens, so that plain calls count too. */
	private static final int COST_OF_REQUEST = 64;

	private static final Comparator<WaitingRequest> BY_URGENCY = Comparator
		.comparingInt((WaitingRequest waiting) -> waiting.ask().rank())
		.thenComparingLong(WaitingRequest::promptBy)
		.thenComparingLong(WaitingRequest::deadline)
		.thenComparing((waiting) -> waiting.ask().request());

	private final Map<OrganisationId, Turn> turns = new HashMap<>();

	private final Deque<Turn> rounds = new ArrayDeque<>();

	private int size;

	void add(WaitingRequest waiting) {
		Turn turn = this.turns.computeIfAbsent(waiting.ask().organisation(), this::newTurn);
		if (turn.requests.add(waiting)) {
			this.size++;
		}
	}

	private Turn newTurn(OrganisationId organisation) {
		Turn turn = new Turn(organisation);
		this.rounds.addLast(turn);
		return turn;
	}

	int size() {
		return this.size;
	}

	/**
	 * Returns the request whose turn it is, which stays in the queue.
	 * @return the request, or {@code null} if there is none
	 */
	@Nullable WaitingRequest peek() {
		while (!this.rounds.isEmpty()) {
			Turn turn = this.rounds.getFirst();
			WaitingRequest first = turn.requests.first();
			if (cost(first) <= turn.deficit) {
				return first;
			}
			turn.deficit += QUANTUM;
			this.rounds.addLast(this.rounds.removeFirst());
		}
		return null;
	}

	/**
	 * Takes a request out, at its organisation's cost.
	 * @param waiting the request that {@link #peek()} returned
	 */
	void take(WaitingRequest waiting) {
		Turn turn = this.turns.get(waiting.ask().organisation());
		if (turn != null) {
			turn.deficit -= cost(waiting);
			remove(waiting);
		}
	}

	/**
	 * Drops a request at no cost.
	 * @param waiting the request
	 */
	void remove(WaitingRequest waiting) {
		Turn turn = this.turns.get(waiting.ask().organisation());
		if (turn == null || !turn.requests.remove(waiting)) {
			return;
		}
		this.size--;
		if (turn.requests.isEmpty()) {
			this.turns.remove(turn.organisation);
			this.rounds.remove(turn);
		}
	}

	private static int cost(WaitingRequest waiting) {
		return waiting.ask().estimate().total() + COST_OF_REQUEST;
	}

	/**
	 * Requests and deficit of one organisation.
	 */
	private static final class Turn {

		private final OrganisationId organisation;

		private final TreeSet<WaitingRequest> requests = new TreeSet<>(BY_URGENCY);

		private long deficit;

		Turn(OrganisationId organisation) {
			this.organisation = organisation;
		}

	}

}
