package org.sardineport.core.stream;

import java.util.Objects;

import com.dynatrace.hash4j.hashing.HashValue128;
import com.dynatrace.hash4j.hashing.Hashing;
import org.jspecify.annotations.Nullable;
import org.sardineport.core.identity.OrganisationId;

/**
 * 128-bit hash of an organisation and the request id that one of its callers chose. Equal
 * ids of different organisations have different keys. Callers of one organisation may use
 * an id repeatedly, so one key may stand for several streams.
 *
 * @param high the upper 64 bits
 * @param low the lower 64 bits
 */
public record StreamKey(long high, long low) {

	/**
	 * Returns the key of the streams that a caller began under a request id.
	 * @param organisation the caller's organisation, as authenticated
	 * @param requestId the caller's request id, any text
	 * @return the key
	 */
	public static StreamKey of(OrganisationId organisation, String requestId) {
		Objects.requireNonNull(organisation, "organisation must not be null");
		Objects.requireNonNull(requestId, "requestId must not be null");
		HashValue128 hash = Hashing.xxh3_128().hashStream().putString(organisation.value()).putString(requestId).get();
		return new StreamKey(hash.getMostSignificantBits(), hash.getLeastSignificantBits());
	}

	// Explicit for faster start-up, see the documentation of package core.identity.
	@Override
	public boolean equals(@Nullable Object other) {
		return other instanceof StreamKey that && this.high == that.high && this.low == that.low;
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
