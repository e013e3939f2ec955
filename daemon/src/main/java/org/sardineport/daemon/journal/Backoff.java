package org.sardineport.daemon.journal;

import java.time.Duration;
import java.time.Instant;
import java.util.SplittableRandom;

/**
 * Exponential backoff with jitter. Each failure doubles the delay up to a maximum; the
 * jitter, between half and one and a half times the delay, keeps daemons from retrying at
 * the same time. Not safe for use by several threads.
 */
final class Backoff {

	private static final Duration INITIAL_DELAY = Duration.ofMillis(50);

	private static final Duration MAX_DELAY = Duration.ofSeconds(2);

	private final SplittableRandom random;

	private Duration delay = INITIAL_DELAY;

	private Instant retryAt = Instant.MIN;

	private Backoff(SplittableRandom random) {
		this.random = random;
	}

	static Backoff create(SplittableRandom random) {
		return new Backoff(random);
	}

	void failed(Instant now) {
		long nanos = this.delay.toNanos();
		this.retryAt = now.plusNanos(nanos / 2 + this.random.nextLong(nanos));
		Duration doubled = this.delay.multipliedBy(2);
		this.delay = (doubled.compareTo(MAX_DELAY) < 0) ? doubled : MAX_DELAY;
	}

	void succeeded() {
		this.delay = INITIAL_DELAY;
		this.retryAt = Instant.MIN;
	}

	boolean isOver(Instant now) {
		return !now.isBefore(this.retryAt);
	}

}
