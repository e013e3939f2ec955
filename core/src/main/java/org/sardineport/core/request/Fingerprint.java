package org.sardineport.core.request;

import org.jspecify.annotations.Nullable;

/**
 * 128-bit hash that identifies a request by its organisation, method, path and body, or a
 * part of prompts by its organisation and identifier. Two requests with equal
 * fingerprints are treated as the same request sent again.
 *
 * @param high the upper 64 bits
 * @param low the lower 64 bits
 */
public record Fingerprint(long high, long low) {

	/**
	 * Returns the fingerprint with the given bits.
	 * @param high the upper 64 bits
	 * @param low the lower 64 bits
	 * @return the fingerprint
	 */
	public static Fingerprint of(long high, long low) {
		return new Fingerprint(high, low);
	}

	// Written by hand because linking the generated methods of a record slows the start.
	@Override
	public boolean equals(@Nullable Object other) {
		return other instanceof Fingerprint that && this.high == that.high && this.low == that.low;
	}

	@Override
	public int hashCode() {
		return 31 * Long.hashCode(this.high) + Long.hashCode(this.low);
	}

	@Override
	public String toString() {
		return "%016x%016x".formatted(this.high, this.low);
	}

}
