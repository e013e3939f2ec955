package org.sardineport.core.scheduling;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.sardineport.core.identity.BackendServerId;
import org.sardineport.core.identity.DaemonId;

/**
 * Entries that get digests of a backend server because they recently requested a permit
 * for it. A subscription expires unless another permit request renews it. All times are
 * milliseconds of the same clock. Not thread-safe.
 */
final class DigestSubscriptions {

	/**
	 * Time after its last permit request for which an entry gets digests, in
	 * milliseconds.
	 */
	private static final long SUBSCRIPTION_MILLIS = 10_000;

	private final Map<BackendServerId, Map<DaemonId, Long>> requestedAt = new HashMap<>();

	/**
	 * Subscribes an entry, or renews its subscription.
	 * @param server the backend server
	 * @param entry the entry
	 * @param now time of its permit request
	 */
	void add(BackendServerId server, DaemonId entry, long now) {
		this.requestedAt.computeIfAbsent(server, (id) -> new HashMap<>()).put(entry, now);
	}

	/**
	 * Removes all subscriptions to a backend server.
	 * @param server the backend server
	 */
	void remove(BackendServerId server) {
		this.requestedAt.remove(server);
	}

	/**
	 * Returns the current subscribers of a backend server and removes the expired ones.
	 * @param server the backend server
	 * @param now the current time
	 * @return an immutable copy of the entries
	 */
	List<DaemonId> current(BackendServerId server, long now) {
		Map<DaemonId, Long> entries = this.requestedAt.get(server);
		if (entries == null) {
			return List.of();
		}
		entries.values().removeIf((time) -> time < now - SUBSCRIPTION_MILLIS);
		return List.copyOf(entries.keySet());
	}

}
