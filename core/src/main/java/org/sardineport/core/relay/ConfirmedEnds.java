package org.sardineport.core.relay;

import java.util.LinkedHashMap;
import java.util.Map;

import org.sardineport.core.backend.BackendProcess;

/**
 * Processes whose streams end with their connection and were each time found whole when
 * another backend server was asked to go on. Their ends are confirmed only now and then,
 * as each confirmation costs a run. Not thread-safe.
 */
public final class ConfirmedEnds {

	/** Number of confirmed ends in a row after which a process is trusted. */
	static final int TRUSTED_AFTER = 3;

	/** One in so many ends of a trusted process is confirmed all the same. */
	static final int CONFIRMED_SHARE = 16;

	/** Maximum number of processes remembered. */
	static final int MAX_PROCESSES = 1024;

	private final Map<BackendProcess, Integer> ends = new LinkedHashMap<>(16, 0.75f, true) {

		@Override
		protected boolean removeEldestEntry(Map.Entry<BackendProcess, Integer> eldest) {
			return size() > MAX_PROCESSES;
		}

	};

	private ConfirmedEnds() {
	}

	/**
	 * Returns an instance that trusts no process.
	 * @return the instance
	 */
	public static ConfirmedEnds create() {
		return new ConfirmedEnds();
	}

	/**
	 * Returns whether the end of a stream of a process needs a confirmation. Counts the
	 * end of one that needs none.
	 * @param process the process, which goes on
	 * @return whether to ask another backend server
	 */
	public boolean needsConfirmation(BackendProcess process) {
		int known = this.ends.getOrDefault(process, 0);
		if (known < TRUSTED_AFTER) {
			return true;
		}
		this.ends.put(process, known + 1);
		return (known - TRUSTED_AFTER) % CONFIRMED_SHARE == CONFIRMED_SHARE - 1;
	}

	/**
	 * Records that a stream of a process was whole.
	 * @param process the process that ended it
	 */
	public void confirmed(BackendProcess process) {
		this.ends.merge(process, 1, Integer::sum);
	}

	/**
	 * Records that a stream of a process was not whole.
	 * @param process the process that ended it
	 */
	public void refuted(BackendProcess process) {
		this.ends.remove(process);
	}

}
