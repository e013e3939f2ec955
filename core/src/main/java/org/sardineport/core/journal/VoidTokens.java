package org.sardineport.core.journal;

import java.time.Duration;
import java.time.Instant;

import com.dynatrace.hash4j.hashing.Hashing;
import org.jspecify.annotations.Nullable;

/**
 * Set of claims that will never run. Each is kept for at least one period; two sets are
 * rotated to drop the older ones. Not thread-safe.
 */
final class VoidTokens {

	private final Duration period;

	private LongHashSet current = LongHashSet.create();

	private LongHashSet previous = LongHashSet.create();

	private @Nullable Instant periodEnd;

	private VoidTokens(Duration period) {
		this.period = period;
	}

	static VoidTokens create(Duration period) {
		return new VoidTokens(period);
	}

	void add(KeyHash key, long token, Instant now) {
		rotate(now);
		this.current.add(mix(key, token));
	}

	boolean contains(KeyHash key, long token) {
		long mixed = mix(key, token);
		return this.current.contains(mixed) || this.previous.contains(mixed);
	}

	long bytes() {
		return this.current.bytes() + this.previous.bytes();
	}

	private void rotate(Instant now) {
		if (this.periodEnd == null) {
			this.periodEnd = now.plus(this.period);
		}
		if (now.isAfter(this.periodEnd)) {
			this.previous = this.current;
			this.current = LongHashSet.create();
			this.periodEnd = now.plus(this.period);
		}
	}

	private static long mix(KeyHash key, long token) {
		return Hashing.komihash5_0().hashLongLongToLong(key.low(), token);
	}

}
