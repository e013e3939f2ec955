package org.sardineport.daemon.http;

import java.time.InstantSource;
import java.util.UUID;

/**
 * Creates idempotency keys that carry the current time.
 */
final class TestKeys {

	private TestKeys() {
	}

	/** Returns a UUID of version 7 with the time of the clock. */
	static String create(InstantSource clock) {
		long millis = clock.millis();
		UUID random = UUID.randomUUID();
		long high = (millis << 16) | 0x7000L | (random.getMostSignificantBits() & 0xfffL);
		return new UUID(high, random.getLeastSignificantBits()).toString();
	}

}
