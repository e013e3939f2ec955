package org.sardineport.core.journal;

import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Callers that wait for the end of requests that others hold. Not safe for use by several
 * threads.
 */
final class KeyWaiters {

	private final JournalReplay replay;

	private final int maximum;

	private final Map<KeyHash, List<Waiter>> waiters = new HashMap<>();

	private int size;

	private KeyWaiters(JournalReplay replay, int maximum) {
		this.replay = replay;
		this.maximum = maximum;
	}

	static KeyWaiters create(JournalReplay replay, int maximum) {
		return new KeyWaiters(replay, maximum);
	}

	void await(KeyHash key, Instant deadline, Instant now, Consumer<KeyState> reply) {
		KeyStatus status = this.replay.status(key);
		if (!status.phase().isActive() || !now.isBefore(deadline) || this.size >= this.maximum) {
			reply.accept(status.state());
			return;
		}
		this.waiters.computeIfAbsent(key, (absent) -> new ArrayList<>()).add(new Waiter(deadline, reply));
		this.size++;
	}

	void changed(KeyHash key) {
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
				boolean over = !now.isBefore(waiter.deadline());
				if (over) {
					replies.add(() -> waiter.reply().accept(state));
				}
				return over;
			});
			this.size -= before - key.getValue().size();
			if (key.getValue().isEmpty()) {
				keys.remove();
			}
		}
		replies.forEach(Runnable::run);
	}

	/**
	 * One that waits.
	 *
	 * @param deadline until when
	 * @param reply hears the state
	 */
	private record Waiter(Instant deadline, Consumer<KeyState> reply) {
	}

}
