package org.sardineport.core.journal;

import java.time.Instant;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.identity.BackendServerId;
import org.sardineport.core.identity.DaemonId;
import org.sardineport.core.request.Fingerprint;

/**
 * What is kept of a request from its acceptance to its end.
 *
 * @param key its key
 * @param fingerprint hash of the request
 * @param token claim that holds it
 * @param holder the daemon that holds it
 * @param boot number of the holder's process
 * @param deadline when the journal gives up waiting
 * @param durable whether another daemon must take it over
 * @param acceptedOffset offset of the record that holds the request
 * @param attempt number of the last dispatch, 0 for none
 * @param backendServer where it was dispatched
 * @param streamId identity of the engine's stream
 */
public record ActiveKey(IdempotencyKey key, Fingerprint fingerprint, String token, DaemonId holder, long boot,
		Instant deadline, boolean durable, long acceptedOffset, int attempt, @Nullable BackendServerId backendServer,
		@Nullable String streamId) {

	static ActiveKey of(JournalEntry.Accepted entry, long offset) {
		IdempotencyKey key = new IdempotencyKey(entry.organisation(), entry.key(), entry.issuedAt());
		return new ActiveKey(key, entry.fingerprint(), entry.token(), entry.holder(), entry.boot(), entry.deadline(),
				entry.request() != null, offset, 0, null, null);
	}

	ActiveKey dispatched(JournalEntry.Dispatched entry) {
		return new ActiveKey(this.key, this.fingerprint, this.token, this.holder, this.boot, this.deadline,
				this.durable, this.acceptedOffset, entry.attempt(), entry.backendServer(), entry.streamId());
	}

	/**
	 * Returns whether the request was dispatched.
	 * @return whether the log holds its dispatch
	 */
	public boolean isDispatched() {
		return this.attempt > 0;
	}

	/**
	 * Returns the claim that holds the request.
	 * @return the claim
	 */
	public JournalClaim claim() {
		return new JournalClaim(this.key, this.token);
	}

}
