package org.sardineport.core.stream;

import java.util.Objects;

import org.jspecify.annotations.Nullable;

/**
 * One response that a daemon produces for a request, with all its attempts at backend
 * servers. Distinguishes streams whose callers used the same request id.
 *
 * @param key key of the caller's request id
 * @param number number drawn at random for each response
 */
public record StreamRun(StreamKey key, int number) {

	/**
	 * Creates the run.
	 */
	public StreamRun {
		Objects.requireNonNull(key, "key must not be null");
	}

	// Explicit for faster start-up, see the documentation of package core.identity.
	@Override
	public boolean equals(@Nullable Object other) {
		return other instanceof StreamRun that && this.number == that.number && this.key.equals(that.key);
	}

	@Override
	public int hashCode() {
		return 31 * this.key.hashCode() + this.number;
	}

}
