package org.sardineport.daemon.telemetry;

import java.util.List;
import java.util.concurrent.atomic.AtomicLongArray;
import java.util.concurrent.atomic.LongAdder;

import com.codahale.metrics.Metric;

/**
 * Counts durations in fixed buckets, so that the counts of several daemons can be added.
 * Durations are in milliseconds. Safe for use by any thread.
 */
public final class BucketHistogram implements Metric {

	/** Largest duration of each bucket but the last, which has no bound. */
	private static final long[] BOUNDS = { 0, 1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000 };

	private final AtomicLongArray counts = new AtomicLongArray(BOUNDS.length + 1);

	private final LongAdder sum = new LongAdder();

	/**
	 * Adds a duration.
	 * @param millis the duration, 0 or more
	 */
	public void record(long millis) {
		int bucket = 0;
		while (bucket < BOUNDS.length && millis > BOUNDS[bucket]) {
			bucket++;
		}
		this.counts.incrementAndGet(bucket);
		this.sum.add(millis);
	}

	/**
	 * Returns the number of durations up to each bound, as they are now.
	 * @return the buckets, ascending; the last one counts all
	 */
	List<Bucket> buckets() {
		Bucket[] buckets = new Bucket[this.counts.length()];
		long count = 0;
		for (int i = 0; i < buckets.length; i++) {
			count += this.counts.get(i);
			buckets[i] = new Bucket((i < BOUNDS.length) ? BOUNDS[i] : Long.MAX_VALUE, count);
		}
		return List.of(buckets);
	}

	/**
	 * Returns the sum of all durations.
	 * @return milliseconds
	 */
	long sumMillis() {
		return this.sum.sum();
	}

	/**
	 * The durations up to a bound.
	 *
	 * @param maxMillis the bound, in milliseconds; {@link Long#MAX_VALUE} for none
	 * @param count number of durations up to the bound
	 */
	record Bucket(long maxMillis, long count) {

		String label() {
			return (this.maxMillis == Long.MAX_VALUE) ? "+Inf" : Double.toString(this.maxMillis / 1000.0);
		}

	}

}
