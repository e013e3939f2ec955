package org.sardineport.core.routing;

import java.util.Iterator;
import java.util.LinkedHashSet;

/**
 * Estimates which prompt prefixes a backend server holds in its limited cache, as an LRU
 * set of the prefixes prefilled last, and the measured share of a prompt's tokens that a
 * hit saves. Not thread-safe.
 */
public final class PrefixCacheModel {

	/** Maximum number of prefixes; the least recently used one is evicted. */
	private static final int CAPACITY = 256;

	/** Weight of a new sample in the moving average. */
	private static final double HIT_RATIO_WEIGHT = 0.1;

	private final LinkedHashSet<Long> prefixes = new LinkedHashSet<>();

	private double hitRatio;

	private PrefixCacheModel(double initialHitRatio) {
		this.hitRatio = initialHitRatio;
	}

	/**
	 * Returns an empty memory that assumes no savings until the first measurement.
	 * @return the memory
	 */
	public static PrefixCacheModel create() {
		return new PrefixCacheModel(0);
	}

	/**
	 * Returns an empty memory with an assumed hit ratio.
	 * @param initialHitRatio share of a prompt's tokens that a hit is assumed to save
	 * until the first measurement, from 0 to 1
	 * @return the memory
	 */
	public static PrefixCacheModel withHitRatio(double initialHitRatio) {
		return new PrefixCacheModel(initialHitRatio);
	}

	/**
	 * Returns the share of a prompt's tokens that is expected to be cached.
	 * @param prefixHash hash of the prompt's first block; 0 if none
	 * @return from 0 to 1
	 */
	public double expectedHitRatio(long prefixHash) {
		return (prefixHash != 0 && this.prefixes.contains(prefixHash)) ? this.hitRatio : 0;
	}

	/**
	 * Records that a prompt with this prefix is being prefilled.
	 * @param prefixHash hash of the prompt's first block; 0 if none
	 */
	public void recordPrefill(long prefixHash) {
		if (prefixHash == 0) {
			return;
		}
		this.prefixes.remove(prefixHash);
		this.prefixes.add(prefixHash);
		if (this.prefixes.size() > CAPACITY) {
			Iterator<Long> oldest = this.prefixes.iterator();
			oldest.next();
			oldest.remove();
		}
	}

	/**
	 * Updates the hit ratio with a measurement for a prompt whose prefix was expected to
	 * be cached.
	 * @param promptTokens tokens of the prompt; the call has no effect if 0
	 * @param cachedTokens prompt tokens that were cached; the call has no effect if
	 * negative
	 */
	public void observe(int promptTokens, int cachedTokens) {
		if (promptTokens > 0 && cachedTokens >= 0) {
			double sample = Math.min(1.0, (double) cachedTokens / promptTokens);
			this.hitRatio += HIT_RATIO_WEIGHT * (sample - this.hitRatio);
		}
	}

}
