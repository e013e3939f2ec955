package org.sardineport.core.membership;

import java.time.Instant;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.identity.NetworkAddress;

/**
 * Probes that this daemon sent on behalf of others.
 */
final class Relays {

	/** Most such probes remembered; the oldest go first. */
	private static final int CAPACITY = 256;

	private final Map<Long, Relay> bySequence = new LinkedHashMap<>();

	void add(long sequence, NetworkAddress origin, long originSequence, Instant expires) {
		if (this.bySequence.size() >= CAPACITY) {
			Iterator<Long> oldest = this.bySequence.keySet().iterator();
			oldest.next();
			oldest.remove();
		}
		this.bySequence.put(sequence, new Relay(origin, originSequence, expires));
	}

	/**
	 * Takes the probe that an answer belongs to.
	 * @param sequence number of the probe
	 * @param now the current time
	 * @return the probe, or {@code null} if there is none or it is too late
	 */
	@Nullable Relay take(long sequence, Instant now) {
		Relay relay = this.bySequence.remove(sequence);
		return (relay != null && now.isBefore(relay.expires())) ? relay : null;
	}

	/**
	 * A probe on behalf of another daemon.
	 *
	 * @param origin who asked for it
	 * @param originSequence number that the asker expects in the answer
	 * @param expires when the answer is of no more use
	 */
	record Relay(NetworkAddress origin, long originSequence, Instant expires) {

	}

}
