package org.sardineport.core.membership;

import java.time.Instant;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.identity.NetworkAddress;

/**
 * Probes that this daemon sent on behalf of others and that await a response.
 */
final class RelayedProbes {

	/** Maximum number of probes remembered; the oldest is evicted first. */
	private static final int CAPACITY = 256;

	private final Map<Long, RelayedProbe> bySequence = new LinkedHashMap<>();

	void add(long sequence, NetworkAddress origin, long originSequence, Instant expires) {
		if (this.bySequence.size() >= CAPACITY) {
			Iterator<Long> oldest = this.bySequence.keySet().iterator();
			oldest.next();
			oldest.remove();
		}
		this.bySequence.put(sequence, new RelayedProbe(origin, originSequence, expires));
	}

	/**
	 * Removes and returns the probe that a response belongs to.
	 * @param sequence number of the probe
	 * @param now the current time
	 * @return the probe, or {@code null} if there is none or it has expired
	 */
	@Nullable RelayedProbe take(long sequence, Instant now) {
		RelayedProbe probe = this.bySequence.remove(sequence);
		return (probe != null && now.isBefore(probe.expires())) ? probe : null;
	}

	/**
	 * A probe sent on behalf of another daemon.
	 *
	 * @param origin peer address of the daemon that requested the probe
	 * @param originSequence number that the requester expects in the response
	 * @param expires time after which the response is discarded, as the probe of the
	 * requester has failed by then
	 */
	record RelayedProbe(NetworkAddress origin, long originSequence, Instant expires) {

	}

}
