package org.sardineport.core.membership;

import java.util.HashSet;
import java.util.Set;

import org.sardineport.core.identity.DaemonId;

/**
 * Distinguishes the isolation of this daemon from the death of others: when probes to
 * several different daemons in a row time out, it is more likely that this daemon is cut
 * off from the network.
 */
final class IsolationDetector {

	/** Number of different daemons whose probes must time out in a row. */
	private static final int THRESHOLD = 3;

	private final Set<DaemonId> timedOut = new HashSet<>();

	boolean isIsolated() {
		return this.timedOut.size() >= THRESHOLD;
	}

	/**
	 * Records a response to a probe.
	 * @return whether this ended an isolation
	 */
	boolean responseReceived() {
		boolean wasIsolated = isIsolated();
		this.timedOut.clear();
		return wasIsolated;
	}

	/**
	 * Records a probe that timed out.
	 * @param daemon the probed daemon
	 * @return whether this daemon counts as isolated from now on
	 */
	boolean timedOut(DaemonId daemon) {
		if (isIsolated()) {
			return false;
		}
		this.timedOut.add(daemon);
		return isIsolated();
	}

}
