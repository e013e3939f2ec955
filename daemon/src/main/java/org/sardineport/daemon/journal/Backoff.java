package org.sardineport.daemon.journal;

import java.time.Duration;
import java.time.Instant;
import java.util.SplittableRandom;

/**
 * Times of retries after failures, doubled each time and spread at random, so that
 * daemons do not come back all at once. Not safe for use by several threads.
 */
final class Backoff {

	private static final Duration FIRST = Duration.ofMillis(50);

	private static final Duration LONGEST = Duration.ofSeconds(2);

	private final SplittableRandom random;

	private Duration current = FIRST;

	private Instant until = Instant.MIN;

	private Backoff(SplittableRandom random) {
		this.random = random;
	}

	static Backoff create(SplittableRandom random) {
		return new Backoff(random);
	}

	void failed(Instant now) {
		long nanos = this.current.toNanos();
		this.until = now.plusNanos(nanos / 2 + this.random.nextLong(nanos));
		Duration doubled = this.current.multipliedBy(2);
		this.current = (doubled.compareTo(LONGEST) < 0) ? doubled : LONGEST;
	}

	void succeeded() {
		this.current = FIRST;
		this.until = Instant.MIN;
	}

	boolean isOver(Instant now) {
		return !now.isBefore(this.until);
	}

}
