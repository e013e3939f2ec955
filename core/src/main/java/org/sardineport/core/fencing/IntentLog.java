package org.sardineport.core.fencing;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.OptionalLong;

import org.sardineport.core.identity.BackendServerId;

/**
 * Offset of the newest intent for each engine, as read from the log. Not thread-safe.
 */
public final class IntentLog {

	private final Map<BackendServerId, Long> newest = new HashMap<>();

	private IntentLog() {
	}

	/**
	 * Returns an instance without intents.
	 * @return the instance
	 */
	public static IntentLog create() {
		return new IntentLog();
	}

	/**
	 * Adds an intent that was read from the log. Repeated records, and those older than
	 * the newest one for their engine, have no effect.
	 * @param offset offset of the intent's record
	 * @param intent the intent
	 */
	public void add(long offset, OrderIntent intent) {
		Objects.requireNonNull(intent, "intent must not be null");
		this.newest.merge(intent.server(), offset, Math::max);
	}

	/**
	 * Returns the offset of the newest intent for an engine.
	 * @param server the engine
	 * @return the offset, or empty if there is none
	 */
	public OptionalLong newest(BackendServerId server) {
		Long offset = this.newest.get(server);
		return (offset != null) ? OptionalLong.of(offset) : OptionalLong.empty();
	}

}
