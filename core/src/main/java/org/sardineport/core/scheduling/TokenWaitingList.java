package org.sardineport.core.scheduling;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Predicate;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.admission.SchedulingRequest;
import org.sardineport.core.identity.OrganisationId;
import org.sardineport.core.identity.RequestId;
import org.sardineport.core.request.Refusal;

/**
 * Requests that wait until the owner of their organisation's limit has told whether it
 * has tokens for them, in order of arrival. Not thread-safe.
 */
final class TokenWaitingList {

	private final Map<OrganisationId, List<Waiting>> waiting = new HashMap<>();

	void add(Waiting added) {
		this.waiting.computeIfAbsent(added.request().organisation(), (key) -> new ArrayList<>()).add(added);
	}

	boolean isEmpty() {
		return this.waiting.isEmpty();
	}

	/**
	 * Removes a request that is abandoned.
	 * @param request the request
	 * @return the request with its decision, or {@code null} if it does not wait
	 */
	@Nullable Waiting remove(RequestId request) {
		for (OrganisationId organisation : List.copyOf(this.waiting.keySet())) {
			List<Waiting> removed = remove(organisation, (each) -> each.request().id().equals(request));
			if (!removed.isEmpty()) {
				return removed.get(0);
			}
		}
		return null;
	}

	/**
	 * Removes the requests of an organisation that meet a condition.
	 * @param organisation the organisation
	 * @param condition the condition
	 * @return the removed requests, in order of arrival
	 */
	List<Waiting> remove(OrganisationId organisation, Predicate<Waiting> condition) {
		List<Waiting> list = this.waiting.get(organisation);
		if (list == null) {
			return List.of();
		}
		List<Waiting> removed = new ArrayList<>();
		for (Iterator<Waiting> each = list.iterator(); each.hasNext();) {
			Waiting next = each.next();
			if (condition.test(next)) {
				each.remove();
				removed.add(next);
			}
		}
		if (list.isEmpty()) {
			this.waiting.remove(organisation);
		}
		return removed;
	}

	/**
	 * A waiting request.
	 *
	 * @param request the request
	 * @param demandSequence sequence number of the demand report that includes it
	 * @param since when it began to wait, in milliseconds
	 * @param decision receives the refusal, or empty if the request is admitted
	 */
	record Waiting(SchedulingRequest request, long demandSequence, long since, Consumer<Optional<Refusal>> decision) {

	}

}
