package org.sardineport.core.quarantine;

import java.time.Duration;
import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Parts of prompts on which a backend server wrote an answer lately. Bounded; the part
 * whose proof is the oldest is forgotten first. Not thread-safe.
 */
final class SoundParts {

	/**
	 * Time for which a proof counts. A part that all requests of a kind share is proven
	 * anew in much less time, so that its crashes beside others give no strikes.
	 */
	static final Duration PROOF_LIFETIME = Duration.ofSeconds(30);

	/** Maximum number of parts. */
	private static final int CAPACITY = 10_000;

	private final Map<Suspect, Instant> provenAt = new LinkedHashMap<>();

	/**
	 * Records that a part is sound.
	 * @param part the part
	 * @param now the current time
	 */
	void add(Suspect part, Instant now) {
		this.provenAt.remove(part);
		if (this.provenAt.size() >= CAPACITY) {
			this.provenAt.remove(this.provenAt.keySet().iterator().next());
		}
		this.provenAt.put(part, now);
	}

	/**
	 * Returns whether a suspect was proven sound lately.
	 * @param suspect the suspect
	 * @param now the current time
	 * @return {@code false} for requests, which are never proven
	 */
	boolean contains(Suspect suspect, Instant now) {
		Instant proven = this.provenAt.get(suspect);
		return proven != null && now.isBefore(proven.plus(PROOF_LIFETIME));
	}

}
