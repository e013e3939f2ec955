package org.sardineport.core.journal;

import com.dynatrace.hash4j.hashing.HashValue128;
import com.dynatrace.hash4j.hashing.Hashing;
import org.sardineport.core.identity.OrganisationId;

/**
 * 128-bit hash of an organisation and its key, which identifies a key in the journal.
 *
 * @param high the upper 64 bits
 * @param low the lower 64 bits
 */
public record KeyHash(long high, long low) {

	private static final char SEPARATOR = '\n';

	/**
	 * Returns the hash of a key.
	 * @param organisation organisation to which the key belongs
	 * @param key text of the key as sent by the caller
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
	 * Returns the partition to which the key belongs.
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
