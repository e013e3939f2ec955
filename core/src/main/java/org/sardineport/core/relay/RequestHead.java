package org.sardineport.core.relay;

import java.time.Duration;
import java.util.List;
import java.util.Objects;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.request.TokenEstimate;

/**
 * Head of a caller's request, independent of the platform's header names.
 *
 * @param requestId identity of the request, assigned by the caller
 * @param method HTTP method
 * @param target path and query, as sent
 * @param host host named by the caller, with or without a port
 * @param key the caller's key, or {@code null} if it sent none
 * @param remainingTime time for which the caller waits for the response, or {@code null}
 * if not given
 * @param size tokens of the prompt and maximum tokens of the response, or {@code null} if
 * not given
 * @param expectedAnswerTokens the caller's estimate of the response tokens, or
 * {@code null} if not given
 * @param prefixHash hash of the prompt prefix, equal for requests that share it; 0 if
 * none
 * @param sharedParts identifiers of the parts of the prompt that other requests may
 * share, in their order; empty if not given
 * @param resumedStream the stream that the caller takes up again, or {@code null} if it
 * has received no event of one
 */
public record RequestHead(String requestId, String method, String target, String host, @Nullable String key,
		@Nullable Duration remainingTime, @Nullable TokenEstimate size, @Nullable Integer expectedAnswerTokens,
		long prefixHash, List<String> sharedParts, @Nullable ResumedStream resumedStream) {

	/**
	 * Creates the head; rejects missing mandatory components.
	 */
	public RequestHead {
		Objects.requireNonNull(requestId, "requestId must not be null");
		Objects.requireNonNull(method, "method must not be null");
		Objects.requireNonNull(target, "target must not be null");
		Objects.requireNonNull(host, "host must not be null");
		sharedParts = List.copyOf(sharedParts);
	}

	/**
	 * Returns the path of the target, without the query.
	 * @return the path
	 */
	public String path() {
		int query = this.target.indexOf('?');
		return (query < 0) ? this.target : this.target.substring(0, query);
	}

	/**
	 * Returns how long the request may take, from its arrival on.
	 * @param route its route
	 * @return the caller's own time limit or that of the route, whichever is shorter
	 */
	public Duration timeLimit(RelayRoute route) {
		Duration own = this.remainingTime;
		return (own != null && own.compareTo(route.timeout()) < 0) ? own : route.timeout();
	}

	/**
	 * Returns the expected size of the run. The caller's estimate of the response is
	 * capped at the maximum that it allows.
	 * @return the estimate; {@link TokenEstimate#NONE} if the request gives no size
	 */
	public TokenEstimate estimate() {
		TokenEstimate tokens = this.size;
		if (tokens == null) {
			return TokenEstimate.NONE;
		}
		int maxAnswerTokens = tokens.answer();
		int expected = (this.expectedAnswerTokens != null) ? Math.min(this.expectedAnswerTokens, maxAnswerTokens)
				: maxAnswerTokens;
		return TokenEstimate.of(tokens.prompt(), expected);
	}

	/**
	 * Returns the maximum number of tokens that the request may use.
	 * @return tokens of prompt and response together, or {@code null} if not given
	 */
	public @Nullable Integer maxTokens() {
		return (this.size != null) ? Integer.valueOf(this.size.total()) : null;
	}

}
