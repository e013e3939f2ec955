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
 * Entry of the journal. Entries take effect in the order of the log. An entry that is in
 * the log twice has the effect of its first copy only.
 */
public sealed interface JournalEntry {

	/**
	 * Returns whose key it is.
	 * @return the organisation
	 */
	OrganisationId organisation();

	/**
	 * Returns the caller's key.
	 * @return the text
	 */
	String key();

	/**
	 * Returns the claim under which the entry acts.
	 * @return the claim's token
	 */
	String token();

	/**
	 * A daemon holds a request. Takes effect if nobody holds the key, or if the claim to
	 * supersede is the one that holds it and has not dispatched.
	 *
	 * @param organisation whose key it is
	 * @param key the caller's key
	 * @param token the new claim
	 * @param fingerprint hash of the request
	 * @param issuedAt when the caller made the key
	 * @param deadline when the journal gives up waiting
	 * @param holder the daemon
	 * @param boot number of the daemon's process
	 * @param supersedes claim that it takes over, or empty for none
	 * @param request the request itself, if it is durable
	 */
	record Accepted(OrganisationId organisation, String key, String token, Fingerprint fingerprint, Instant issuedAt,
			Instant deadline, DaemonId holder, long boot, String supersedes,
			@Nullable KeyedRequest request) implements JournalEntry {
	}

	/**
	 * The holder is about to dispatch. Takes effect if its claim holds the key.
	 *
	 * @param organisation whose key it is
	 * @param key the caller's key
	 * @param token the claim
	 * @param attempt number of the dispatch under this claim; a later one means that
	 * nothing was sent by the one before
	 * @param backendServer where it goes
	 * @param streamId identity of the engine's stream
	 */
	record Dispatched(OrganisationId organisation, String key, String token, int attempt, BackendServerId backendServer,
			String streamId) implements JournalEntry {
	}

	/**
	 * The claim will never run, whatever of it comes later in the log. Written by the
	 * holder of the claim alone.
	 *
	 * @param organisation whose key it is
	 * @param key the caller's key
	 * @param token the claim
	 */
	record Released(OrganisationId organisation, String key, String token) implements JournalEntry {
	}

	/**
	 * Part of an answer, in the log before the end of its request.
	 *
	 * @param organisation whose key it is
	 * @param key the caller's key
	 * @param token the claim
	 * @param index place of the part, from 0
	 * @param part the bytes
	 */
	record AnswerPart(OrganisationId organisation, String key, String token, int index,
			byte[] part) implements JournalEntry {
	}

	/**
	 * The request has ended. Takes effect if the claim has dispatched. An unknown outcome
	 * gives way to a completed one.
	 *
	 * @param organisation whose key it is
	 * @param key the caller's key
	 * @param token the claim
	 * @param outcome what is known of the run
	 * @param status HTTP status of the answer, 0 if none is kept
	 * @param headers headers of the answer
	 * @param parts number of parts that came before
	 * @param lastPart the rest of the answer's body
	 */
	record Finished(OrganisationId organisation, String key, String token, Outcome outcome, int status,
			Map<String, String> headers, int parts, byte[] lastPart) implements JournalEntry {
	}

}
