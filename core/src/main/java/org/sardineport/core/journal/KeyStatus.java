package org.sardineport.core.journal;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.request.Fingerprint;

/**
 * State of a key in the replayed log.
 *
 * @param phase phase of its row
 * @param token hash of the claim that last changed the row
 * @param fingerprint hash of the request, {@code null} if the key is not known
 * @param answerOffset offset of the first record of the answer, or
 * {@link KeyTable#NO_OFFSET}
 */
record KeyStatus(RowPhase phase, long token, @Nullable Fingerprint fingerprint, long answerOffset) {

	static final KeyStatus ABSENT = new KeyStatus(RowPhase.EMPTY, 0, null, KeyTable.NO_OFFSET);

	boolean isHeldBy(long claimToken) {
		return this.phase.isActive() && this.token == claimToken;
	}

	boolean hasOtherFingerprint(Fingerprint other) {
		return this.fingerprint != null && !this.fingerprint.equals(other);
	}

	// Returns the state without the answer, which must be read from the log.
	KeyState state() {
		return this.phase.state();
	}

}
