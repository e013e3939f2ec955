package org.sardineport.core.profile;

import java.time.Duration;
import java.util.Objects;

import org.sardineport.core.identity.PoolName;
import org.sardineport.core.request.RunningPolicy;
import org.sardineport.core.request.Tier;

/**
 * How a profile treats the requests of one method and path.
 *
 * @param method HTTP method in upper case, or {@code *} for any
 * @param path path to match: exact, or a prefix if it ends in {@code /*}
 * @param pool pool that runs the requests
 * @param tier their urgency
 * @param deadline time from arrival within which an answer is worth having
 * @param nonIdempotent whether a second run would do harm; such requests need a key
 * @param durable whether accepted work must survive the daemon that accepted it
 * @param maximumBodyBytes largest body accepted
 * @param answerTokens tokens expected in an answer when the request does not say; 0 for
 * plain services
 */
public record Route(String method, String path, PoolName pool, Tier tier, Duration deadline, boolean nonIdempotent,
		boolean durable, int maximumBodyBytes, int answerTokens) {

	/** Method that matches any other. */
	public static final String ANY_METHOD = "*";

	/** Ending of a path that matches as a prefix. */
	public static final String PREFIX_SUFFIX = "/*";

	/**
	 * Creates the route.
	 * @throws IllegalArgumentException if a number is out of range
	 */
	public Route {
		Objects.requireNonNull(method, "method must not be null");
		Objects.requireNonNull(path, "path must not be null");
		Objects.requireNonNull(pool, "pool must not be null");
		Objects.requireNonNull(tier, "tier must not be null");
		Objects.requireNonNull(deadline, "deadline must not be null");
		if (deadline.isNegative() || deadline.isZero()) {
			throw new IllegalArgumentException("deadline must be positive, found " + deadline);
		}
		if (maximumBodyBytes < 0 || answerTokens < 0) {
			throw new IllegalArgumentException("maximumBodyBytes and answerTokens must not be negative");
		}
	}

	/**
	 * Returns whether the route applies.
	 * @param requestMethod method of the request
	 * @param requestPath path of the request, without its query
	 * @return whether both match
	 */
	public boolean matches(String requestMethod, String requestPath) {
		return (this.method.equals(ANY_METHOD) || this.method.equals(requestMethod)) && matchesPath(requestPath);
	}

	private boolean matchesPath(String requestPath) {
		if (!this.path.endsWith(PREFIX_SUFFIX)) {
			return this.path.equals(requestPath);
		}
		String prefix = this.path.substring(0, this.path.length() - 1);
		return requestPath.startsWith(prefix) || requestPath.equals(prefix.substring(0, prefix.length() - 1));
	}

	/**
	 * Returns whether requests of this route go through the journal.
	 * @return whether they are non-idempotent or durable
	 */
	public boolean isKeyed() {
		return this.nonIdempotent || this.durable;
	}

	/**
	 * Returns what may be done to a running request of this route.
	 * @return the policy
	 */
	public RunningPolicy runningPolicy() {
		if (this.nonIdempotent) {
			return RunningPolicy.UNINTERRUPTIBLE;
		}
		return this.durable ? RunningPolicy.RESUMABLE_ONLY : RunningPolicy.CANCELLABLE;
	}

}
