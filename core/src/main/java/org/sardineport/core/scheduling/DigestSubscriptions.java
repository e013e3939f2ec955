package org.sardineport.core.scheduling;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.sardineport.core.identity.BackendServerId;
import org.sardineport.core.identity.DaemonId;

/**
 * Entries that get digests of a backend server because they recently requested a permit
 * for it. A subscription expires unless another permit request renews it. The number of
 * digests at a time is limited, so that the work of an owner does not grow with the
 * fleet. All times are milliseconds of the same clock. Not thread-safe.
 */
final class DigestSubscriptions {

	/**
	 * Time after its last permit request for which an entry gets digests, in
	 * milliseconds.
	 */
	private static final long SUBSCRIPTION_MILLIS = 10_000;

	/** Time for which an entry that was told the state needs no digest. */
	private static final long TOLD_MILLIS = 900;

	/** Maximum number of entries that get a digest of one backend server at a time. */
	static final int MAX_DIGESTS = 64;

	private final Map<BackendServerId, Map<DaemonId, Subscription>> subscriptions = new HashMap<>();

	/**
	 * Subscribes an entry, or renews its subscription. The reply to its permit request
	 * tells it the state.
	 * @param server the backend server
	 * @param entry the entry
	 * @param now time of its permit request
	 */
	void add(BackendServerId server, DaemonId entry, long now) {
		this.subscriptions.computeIfAbsent(server, (id) -> new HashMap<>()).put(entry, new Subscription(now, now));
	}

	/**
	 * Removes all subscriptions to a backend server.
	 * @param server the backend server
	 */
	void remove(BackendServerId server) {
		this.subscriptions.remove(server);
	}

	/**
	 * Returns the subscribers of a backend server that are due for a digest, counts them
	 * as told, and removes the expired subscriptions.
	 * @param server the backend server
	 * @param now the current time
	 * @return the entries, those told longest ago first; at most {@value #MAX_DIGESTS}
	 */
	List<DaemonId> takeDue(BackendServerId server, long now) {
		Map<DaemonId, Subscription> entries = this.subscriptions.get(server);
		if (entries == null) {
			return List.of();
		}
		entries.values().removeIf((subscription) -> subscription.requestedAt() < now - SUBSCRIPTION_MILLIS);
		List<DaemonId> due = entries.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().toldAt() <= now - TOLD_MILLIS)
			.sorted(Comparator.comparingLong((entry) -> entry.getValue().toldAt()))
			.limit(MAX_DIGESTS)
			.map(Map.Entry::getKey)
			.toList();
		due.forEach((entry) -> entries.computeIfPresent(entry, (id, subscription) -> subscription.toldAt(now)));
		return due;
	}

	/**
	 * Subscription of one entry.
	 *
	 * @param requestedAt time of its last permit request
	 * @param toldAt when it was last told the state
	 */
	private record Subscription(long requestedAt, long toldAt) {

		private Subscription toldAt(long now) {
			return new Subscription(this.requestedAt, now);
		}

	}

}
