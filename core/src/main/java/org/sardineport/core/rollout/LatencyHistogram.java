package org.sardineport.core.rollout;

import java.util.Arrays;

/**
 * Histogram of durations with buckets whose bounds grow by a factor of the square root of
 * two, from one twentieth of a millisecond on. Not thread-safe.
 */
public final class LatencyHistogram {

	/** Number of buckets; the last one has no upper bound. */
	public static final int BUCKETS = 44;

	/** Lower bound of the second bucket. */
	private static final double SMALLEST_MILLIS = 0.05;

	private static final double BUCKETS_PER_DOUBLING = 2;

	private final int[] counts;

	private LatencyHistogram(int[] counts) {
		this.counts = counts;
	}

	/**
	 * Returns an empty histogram.
	 * @return the histogram
	 */
	public static LatencyHistogram create() {
		return new LatencyHistogram(new int[BUCKETS]);
	}

	/**
	 * Returns a histogram with the given counts.
	 * @param counts the count of each bucket; copied
	 * @return the histogram
	 * @throws IllegalArgumentException if the number of buckets is wrong or a count is
	 * negative
	 */
	public static LatencyHistogram of(int[] counts) {
		if (counts.length != BUCKETS || Arrays.stream(counts).anyMatch((count) -> count < 0)) {
			throw new IllegalArgumentException("counts must be %d and not negative".formatted(BUCKETS));
		}
		return new LatencyHistogram(counts.clone());
	}

	static int bucket(double millis) {
		if (!(millis > SMALLEST_MILLIS)) {
			return 0;
		}
		double doublings = Math.log(millis / SMALLEST_MILLIS) / Math.log(2);
		return Math.min(BUCKETS - 1, 1 + (int) (BUCKETS_PER_DOUBLING * doublings));
	}

	void record(double millis) {
		this.counts[bucket(millis)]++;
	}

	/**
	 * Returns the count of a bucket.
	 * @param bucket index of the bucket
	 * @return the count
	 */
	public int count(int bucket) {
		return this.counts[bucket];
	}

	void add(LatencyHistogram other) {
		for (int i = 0; i < BUCKETS; i++) {
			this.counts[i] += other.counts[i];
		}
	}

	void halve() {
		for (int i = 0; i < BUCKETS; i++) {
			this.counts[i] -= this.counts[i] / 2;
		}
	}

	void clear() {
		Arrays.fill(this.counts, 0);
	}

	LatencyHistogram copy() {
		return new LatencyHistogram(this.counts.clone());
	}

	/**
	 * Returns what was recorded since an earlier state.
	 * @param earlier the earlier state of the same histogram
	 * @return the difference, without negative counts
	 */
	LatencyHistogram since(LatencyHistogram earlier) {
		int[] difference = new int[BUCKETS];
		for (int i = 0; i < BUCKETS; i++) {
			difference[i] = Math.max(0, this.counts[i] - earlier.counts[i]);
		}
		return new LatencyHistogram(difference);
	}

	int total() {
		return Arrays.stream(this.counts).sum();
	}

	/**
	 * Returns the bucket that holds a quantile.
	 * @param quantile the quantile, from 0 to 1
	 * @return index of the bucket; 0 if the histogram is empty
	 */
	int quantileBucket(double quantile) {
		double needed = quantile * total();
		int seen = 0;
		for (int i = 0; i < BUCKETS; i++) {
			seen += this.counts[i];
			if (seen >= needed && seen > 0) {
				return i;
			}
		}
		return 0;
	}

	int countAbove(int bucket) {
		int above = 0;
		for (int i = bucket + 1; i < BUCKETS; i++) {
			above += this.counts[i];
		}
		return above;
	}

	@Override
	public boolean equals(Object other) {
		return other instanceof LatencyHistogram that && Arrays.equals(this.counts, that.counts);
	}

	@Override
	public int hashCode() {
		return Arrays.hashCode(this.counts);
	}

}
