package org.sardineport.core.membership;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.sardineport.core.backend.BackendProcess;
import org.sardineport.core.quarantine.StrikeKey;

/**
 * Updates about backend servers: strikes, and backend servers that are leaving. Each is
 * remembered until it expires, so that it is reported and broadcast only once.
 */
final class BackendUpdates {

	/** Time for which the report of a leaving backend server is remembered. */
	static final Duration LEAVING_RETENTION = Duration.ofSeconds(60);

	/** Maximum number of items remembered of each kind; the oldest is evicted first. */
	private static final int CAPACITY = 1024;

	private final Map<StrikeKey, Instant> strikeExpiries = new LinkedHashMap<>();

	private final Map<BackendProcess, Instant> leavingSince = new LinkedHashMap<>();

	private final BroadcastQueue<StrikeKey> strikeQueue = new BroadcastQueue<>(CAPACITY);

	private final BroadcastQueue<BackendProcess> leavingQueue = new BroadcastQueue<>(CAPACITY);

	/**
	 * Adds a strike and broadcasts it if it is new.
	 * @param strike the strike
	 * @param now the current time
	 * @return whether it is new and has not expired
	 */
	boolean add(StrikeUpdate strike, Instant now) {
		StrikeKey key = strike.key();
		if (this.strikeExpiries.containsKey(key) || strike.remaining().isZero()) {
			return false;
		}
		evictOldestIfFull(this.strikeExpiries);
		this.strikeExpiries.put(key, now.plus(strike.remaining()));
		this.strikeQueue.add(key);
		return true;
	}

	/**
	 * Adds a leaving backend server and broadcasts it if it is new.
	 * @param update the backend server and the age of its report
	 * @param now the current time
	 * @return whether it is new and has not expired
	 */
	boolean add(LeavingUpdate update, Instant now) {
		if (update.age().compareTo(LEAVING_RETENTION) >= 0 || this.leavingSince.containsKey(update.process())) {
			return false;
		}
		evictOldestIfFull(this.leavingSince);
		this.leavingSince.put(update.process(), now.minus(update.age()));
		this.leavingQueue.add(update.process());
		return true;
	}

	List<StrikeUpdate> takeStrikes(int maxItems, int maxTransmissions, Instant now) {
		List<StrikeUpdate> taken = new ArrayList<>();
		for (StrikeKey key : this.strikeQueue.take(maxItems, maxTransmissions)) {
			Instant expires = this.strikeExpiries.get(key);
			if (expires != null && now.isBefore(expires)) {
				taken.add(new StrikeUpdate(key, Duration.between(now, expires)));
			}
		}
		return taken;
	}

	List<LeavingUpdate> takeLeaving(int maxItems, int maxTransmissions, Instant now) {
		List<LeavingUpdate> taken = new ArrayList<>();
		for (BackendProcess process : this.leavingQueue.take(maxItems, maxTransmissions)) {
			Instant since = this.leavingSince.get(process);
			if (since != null) {
				taken.add(new LeavingUpdate(process, Duration.between(since, now)));
			}
		}
		return taken;
	}

	void removeExpired(Instant now) {
		this.strikeExpiries.values().removeIf((expires) -> !now.isBefore(expires));
		Instant oldest = now.minus(LEAVING_RETENTION);
		this.leavingSince.values().removeIf((since) -> since.isBefore(oldest));
	}

	private static <K> void evictOldestIfFull(Map<K, Instant> remembered) {
		if (remembered.size() >= CAPACITY) {
			remembered.remove(remembered.keySet().iterator().next());
		}
	}

}
