package org.sardineport.core.stream;

import java.util.Objects;

import org.jspecify.annotations.Nullable;

/**
 * Origin of one run, as it is stored outside the daemons' memory.
 *
 * @param key key of the stream
 * @param run what is known of the run: begun, or contradictory
 */
public record StoredOrigin(StreamKey key, RunOrigin run) {

	/**
	 * Creates the stored origin.
	 */
	public StoredOrigin {
		Objects.requireNonNull(key, "key must not be null");
		Objects.requireNonNull(run, "run must not be null");
	}

	// Explicit for faster start-up, see the documentation of package core.identity.
	@Override
	public boolean equals(@Nullable Object other) {
		return other instanceof StoredOrigin that && this.key.equals(that.key) && this.run.equals(that.run);
	}

	@Override
	public int hashCode() {
		return 31 * this.key.hashCode() + this.run.hashCode();
	}

}
