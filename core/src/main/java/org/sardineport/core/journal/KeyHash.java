package org.sardineport.core.journal;

import com.dynatrace.hash4j.hashing.HashValue128;
import com.dynatrace.hash4j.hashing.Hashing;
import org.sardineport.core.identity.OrganisationId;

/**
 * Hash of an organisation and its key, 128 bits, by which the journal knows a key.
 *
 * @param high the upper 64 bits
 * @param low the lower 64 bits
 */
public record KeyHash(long high, long low) {

	private static final char SEPARATOR = '\n';

	/**
	 * Returns the hash of a key.
	 * @param organisation whose key it is
	 * @param key the caller's text
	 * @return the hash
	 */
	public static KeyHash of(OrganisationId organisation, String key) {
		HashValue128 hash = Hashing.murmur3_128().hashCharsTo128Bits(organisation.value() + SEPARATOR + key);
		return new KeyHash(hash.getMostSignificantBits(), hash.getLeastSignificantBits());
	}

	/**
	 * Returns the hash of a key.
	 * @param key the key
	 * @return the hash
	 */
	public static KeyHash of(IdempotencyKey key) {
		return of(key.organisation(), key.value());
	}

	/**
	 * Returns the partition that holds the key.
	 * @param partitions number of partitions, at least 1
	 * @return the partition, from 0
	 */
	public int partition(int partitions) {
		return (int) Long.remainderUnsigned(this.low, partitions);
	}

	static long ofToken(String token) {
		return Hashing.komihash5_0().hashCharsToLong(token);
	}

}
