package org.sardineport.core.fencing;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.OptionalLong;

import org.sardineport.core.identity.BackendServerId;

/**
 * The newest intent for each engine, as read from the log. Not safe for use by several
 * threads.
 */
public final class IntentLog {

	private final Map<BackendServerId, Long> newest = new HashMap<>();

	private IntentLog() {
	}

	/**
	 * Returns a log of which nothing was read yet.
	 * @return the log
	 */
	public static IntentLog create() {
		return new IntentLog();
	}

	/**
	 * Takes an intent that was read. Records that come again or out of order change
	 * nothing.
	 * @param offset offset of its record
	 * @param intent the intent
	 */
	public void read(long offset, OrderIntent intent) {
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
