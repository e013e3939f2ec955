package org.sardineport.core.journal;

import java.time.Instant;
import java.util.Map;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.identity.BackendServerId;
import org.sardineport.core.identity.DaemonId;
import org.sardineport.core.identity.OrganisationId;
import org.sardineport.core.request.Fingerprint;
import org.sardineport.core.request.Outcome;

/**
 * Entry of the journal. Entries take effect in log order. Only the first copy of an entry
 * has an effect, if the log contains several.
 */
public sealed interface JournalEntry {

	/**
	 * Returns the organisation to which the key belongs.
	 * @return the organisation
	 */
	OrganisationId organisation();

	/**
	 * Returns the key as sent by the caller.
	 * @return the text of the key
	 */
	String key();

	/**
	 * Returns the claim under which the entry acts.
	 * @return the claim's token
	 */
	String token();

	/**
	 * A daemon claims a request. Takes effect if the key is free, or if the superseded
	 * claim holds the key and has not dispatched.
	 *
	 * @param organisation organisation to which the key belongs
	 * @param key the caller's key
	 * @param token token of the new claim
	 * @param fingerprint hash of the request
	 * @param issuedAt time at which the caller created the key
	 * @param deadline time at which the journal stops waiting for the request
	 * @param holder daemon that makes the claim
	 * @param boot number of the process of the daemon
	 * @param supersedes token of the claim that it takes over, or empty for none
	 * @param request the complete request if it is durable, else {@code null}
	 */
	record Accepted(OrganisationId organisation, String key, String token, Fingerprint fingerprint, Instant issuedAt,
			Instant deadline, DaemonId holder, long boot, String supersedes,
			@Nullable KeyedRequest request) implements JournalEntry {
	}

	/**
	 * The holder is about to dispatch the request. Takes effect if its claim holds the
	 * key.
	 *
	 * @param organisation organisation to which the key belongs
	 * @param key the caller's key
	 * @param token token of the claim
	 * @param attempt number of the dispatch under this claim, from 1; a higher number
	 * implies that the previous attempt sent nothing
	 * @param backendServer backend server to which it is sent
	 * @param streamId identifier of the engine's stream
	 */
	record Dispatched(OrganisationId organisation, String key, String token, int attempt, BackendServerId backendServer,
			String streamId) implements JournalEntry {
	}

	/**
	 * The claim will never run; its later entries in the log have no effect. Written only
	 * by the holder of the claim.
	 *
	 * @param organisation organisation to which the key belongs
	 * @param key the caller's key
	 * @param token token of the claim
	 */
	record Released(OrganisationId organisation, String key, String token) implements JournalEntry {
	}

	/**
	 * Part of an answer, written before the FINISHED record of its request.
	 *
	 * @param organisation organisation to which the key belongs
	 * @param key the caller's key
	 * @param token token of the claim
	 * @param index index of the part, from 0
	 * @param part bytes of the part
	 */
	record ResponsePart(OrganisationId organisation, String key, String token, int index,
			byte[] part) implements JournalEntry {
	}

	/**
	 * The request has ended. Takes effect if the claim has dispatched. A completed
	 * outcome replaces an unknown one.
	 *
	 * @param organisation organisation to which the key belongs
	 * @param key the caller's key
	 * @param token token of the claim
	 * @param outcome outcome of the run
	 * @param status HTTP status of the answer, 0 if no answer is stored
	 * @param headers headers of the answer
	 * @param parts number of preceding {@link ResponsePart} entries
	 * @param lastPart remaining bytes of the body of the answer
	 */
	record Finished(OrganisationId organisation, String key, String token, Outcome outcome, int status,
			Map<String, String> headers, int parts, byte[] lastPart) implements JournalEntry {
	}

}
