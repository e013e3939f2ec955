package org.sardineport.core.relay;

import java.time.Duration;
import java.util.Objects;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.request.TokenEstimate;

/**
 * Head of a caller's request, in the terms of this program.
 *
 * @param requestId identity that the caller gave the request
 * @param method HTTP method
 * @param target path and query, as sent
 * @param host host that the caller names
 * @param key the caller's key, or {@code null} if it sent none
 * @param timeLeft time for which the caller waits, or {@code null} if it does not say
 * @param size tokens of the prompt and most tokens of the answer, or {@code null} if not
 * given
 * @param expectedAnswerTokens the caller's guess of the answer's tokens, or {@code null}
 * @param prefixHash hash that requests with the same prompt share; 0 if none
 */
public record CallerHead(String requestId, String method, String target, String host, @Nullable String key,
		@Nullable Duration timeLeft, @Nullable TokenEstimate size, @Nullable Integer expectedAnswerTokens,
		long prefixHash) {

	/**
	 * Creates the head.
	 */
	public CallerHead {
		Objects.requireNonNull(requestId, "requestId must not be null");
		Objects.requireNonNull(method, "method must not be null");
		Objects.requireNonNull(target, "target must not be null");
		Objects.requireNonNull(host, "host must not be null");
	}

	/**
	 * Returns the path without the query.
	 * @return the path
	 */
	public String path() {
		int query = this.target.indexOf('?');
		return (query < 0) ? this.target : this.target.substring(0, query);
	}

	/**
	 * Returns the size that is expected of the run.
	 * @return the estimate, with no tokens for a call that names none
	 */
	public TokenEstimate estimate() {
		TokenEstimate given = this.size;
		if (given == null) {
			return TokenEstimate.NONE;
		}
		int most = given.answer();
		int expected = (this.expectedAnswerTokens != null) ? Math.min(this.expectedAnswerTokens, most) : most;
		return TokenEstimate.of(given.prompt(), expected);
	}

	/**
	 * Returns the tokens that the request may use at most.
	 * @return tokens of prompt and answer, or {@code null} if not given
	 */
	public @Nullable Integer mostTokens() {
		return (this.size != null) ? Integer.valueOf(this.size.total()) : null;
	}

}
