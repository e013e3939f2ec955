package org.sardineport.core.journal;

import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Callers that wait for the end of requests under claims of others. Not thread-safe.
 */
final class KeyWaiters {

	private final JournalReplay replay;

	private final int maxWaiters;

	private final Map<KeyHash, List<Waiter>> waiters = new HashMap<>();

	private int size;

	private KeyWaiters(JournalReplay replay, int maxWaiters) {
		this.replay = replay;
		this.maxWaiters = maxWaiters;
	}

	static KeyWaiters create(JournalReplay replay, int maxWaiters) {
		return new KeyWaiters(replay, maxWaiters);
	}

	void await(KeyHash key, Instant deadline, Instant now, Consumer<KeyState> reply) {
		KeyStatus status = this.replay.status(key);
		if (!status.phase().isActive() || !now.isBefore(deadline) || this.size >= this.maxWaiters) {
			reply.accept(status.state());
			return;
		}
		this.waiters.computeIfAbsent(key, (absent) -> new ArrayList<>()).add(new Waiter(deadline, reply));
		this.size++;
	}

	void onChange(KeyHash key) {
		if (this.size == 0 || !this.waiters.containsKey(key)) {
			return;
		}
		KeyStatus status = this.replay.status(key);
		if (!status.phase().isActive()) {
			List<Waiter> ended = this.waiters.remove(key);
			this.size -= ended.size();
			ended.forEach((waiter) -> waiter.reply().accept(status.state()));
		}
	}

	void tick(Instant now) {
		List<Runnable> replies = new ArrayList<>();
		Iterator<Map.Entry<KeyHash, List<Waiter>>> keys = this.waiters.entrySet().iterator();
		while (keys.hasNext()) {
			Map.Entry<KeyHash, List<Waiter>> key = keys.next();
			KeyState state = this.replay.status(key.getKey()).state();
			int before = key.getValue().size();
			key.getValue().removeIf((waiter) -> {
				boolean expired = !now.isBefore(waiter.deadline());
				if (expired) {
					replies.add(() -> waiter.reply().accept(state));
				}
				return expired;
			});
			this.size -= before - key.getValue().size();
			if (key.getValue().isEmpty()) {
				keys.remove();
			}
		}
		replies.forEach(Runnable::run);
	}

	/**
	 * Caller that waits for a key.
	 *
	 * @param deadline time at which waiting ends
	 * @param reply called once with the state
	 */
	private record Waiter(Instant deadline, Consumer<KeyState> reply) {
	}

}
