package org.sardineport.core.request;

import org.jspecify.annotations.Nullable;

/**
 * Hash of a request's organisation, method, path and body, 128 bits. Two requests with
 * equal fingerprints are taken to be the same request sent again.
 *
 * @param high the upper 64 bits
 * @param low the lower 64 bits
 */
public record Fingerprint(long high, long low) {

	/**
	 * Returns the fingerprint of the given bits.
	 * @param high the upper 64 bits
	 * @param low the lower 64 bits
	 * @return the fingerprint
	 */
	public static Fingerprint of(long high, long low) {
		return new Fingerprint(high, low);
	}

	// Written out for the reason that the package core.identity gives.
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
