package org.sardineport.core.request;

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

	@Override
	public String toString() {
		return "%016x%016x".formatted(this.high, this.low);
	}

}
