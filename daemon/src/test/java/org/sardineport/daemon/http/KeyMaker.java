package org.sardineport.daemon.http;

import java.time.InstantSource;
import java.util.UUID;

/**
 * Makes idempotency keys of the current time.
 */
final class KeyMaker {

	private KeyMaker() {
	}

	/** Returns a UUID of version 7. */
	static String key(InstantSource clock) {
		long millis = clock.millis();
		UUID random = UUID.randomUUID();
		long high = (millis << 16) | 0x7000L | (random.getMostSignificantBits() & 0xfffL);
		return new UUID(high, random.getLeastSignificantBits()).toString();
	}

}
