package org.sardineport.core.profile;

import java.time.Duration;
import java.util.Objects;

import org.sardineport.core.identity.PoolName;
import org.sardineport.core.request.RunningPolicy;
import org.sardineport.core.request.Tier;

/**
 * Scheduling rules of a profile for requests with a given method and path.
 *
 * @param method HTTP method in upper case, or {@code *} for any
 * @param path path to match: exact, or a prefix if it ends in {@code /*}
 * @param pool pool of backend servers that runs the requests
 * @param tier urgency of the requests
 * @param deadline time from arrival after which a response is useless; positive
 * @param nonIdempotent whether running a request twice causes harm; such requests need an
 * idempotency key
 * @param durable whether accepted requests must survive the loss of the daemon that
 * accepted them
 * @param maximumBodyBytes maximum size of a request body
 * @param answerTokens expected number of response tokens if the request does not specify
 * it; 0 for plain services
 */
public record Route(String method, String path, PoolName pool, Tier tier, Duration deadline, boolean nonIdempotent,
		boolean durable, int maximumBodyBytes, int answerTokens) {

	/** Wildcard that matches every method. */
	public static final String ANY_METHOD = "*";

	/** Suffix of a path that is matched as a prefix. */
	public static final String PREFIX_SUFFIX = "/*";

	/**
	 * Validates the values.
	 * @throws IllegalArgumentException if the deadline is not positive or a number is
	 * negative
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
	 * Returns whether the route matches a request. A prefix path {@code /a/*} also
	 * matches {@code /a}.
	 * @param requestMethod the HTTP method of the request
	 * @param requestPath path of the request, without query string
	 * @return whether method and path match
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
	 * Returns whether requests of this route are recorded in the journal.
	 * @return whether they are non-idempotent or durable
	 */
	public boolean isKeyed() {
		return this.nonIdempotent || this.durable;
	}

	/**
	 * Returns whether a running request of this route may be preempted.
	 * @return the policy
	 */
	public RunningPolicy runningPolicy() {
		if (this.nonIdempotent) {
			return RunningPolicy.UNINTERRUPTIBLE;
		}
		return this.durable ? RunningPolicy.RESUMABLE_ONLY : RunningPolicy.CANCELLABLE;
	}

}
