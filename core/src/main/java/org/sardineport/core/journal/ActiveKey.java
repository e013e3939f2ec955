package org.sardineport.core.journal;

import java.time.Instant;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.identity.BackendServerId;
import org.sardineport.core.identity.DaemonId;
import org.sardineport.core.request.Fingerprint;

/**
 * Request in flight, as recorded from its acceptance to its end.
 *
 * @param key its key
 * @param fingerprint hash of the request
 * @param token token of the claim that holds the key
 * @param holder daemon that made the claim
 * @param boot number of the process of the holder
 * @param deadline time at which the journal stops waiting for the request
 * @param durable whether another daemon must take the request over if its holder fails
 * @param acceptedOffset offset of the record that holds the request
 * @param attempt number of the last dispatch, 0 for none
 * @param backendServer backend server of the last dispatch, {@code null} for none
 * @param streamId identifier of the engine's stream, {@code null} before the first
 * dispatch
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
	 * Returns whether a dispatch of the request was recorded.
	 * @return whether the log contains a DISPATCHED record of the claim
	 */
	public boolean isDispatched() {
		return this.attempt > 0;
	}

	/**
	 * Returns the claim that holds the key of the request.
	 * @return the claim
	 */
	public JournalClaim claim() {
		return new JournalClaim(this.key, this.token);
	}

}
