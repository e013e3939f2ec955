package org.sardineport.core.exchange;

import java.time.Instant;
import java.util.Optional;
import java.util.UUID;

/**
 * Reads the time of issue from keys that are UUIDs of version 7 (RFC 9562).
 */
final class KeyTimestamps {

	private static final int UUID_LENGTH = 36;

	private static final int TIMESTAMP_VERSION = 7;

	/** Bits of the upper half below its 48 bits of milliseconds. */
	private static final int BITS_BELOW_TIMESTAMP = 16;

	private KeyTimestamps() {
	}

	static Optional<Instant> fromUuid(String key) {
		if (key.length() != UUID_LENGTH) {
			return Optional.empty();
		}
		try {
			UUID uuid = UUID.fromString(key);
			if (uuid.version() != TIMESTAMP_VERSION) {
				return Optional.empty();
			}
			return Optional.of(Instant.ofEpochMilli(uuid.getMostSignificantBits() >>> BITS_BELOW_TIMESTAMP));
		}
		catch (IllegalArgumentException ex) {
			return Optional.empty();
		}
	}

}
