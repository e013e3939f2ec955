package org.sardineport.core.routing;

import java.util.Iterator;
import java.util.LinkedHashSet;

/**
 * Prefixes that a backend server probably holds in its limited cache, with the share of a
 * prompt that such a hit saves, as measured. Not safe for use by several threads.
 */
public final class PrefixMemory {

	/** Most prefixes remembered. */
	private static final int CAPACITY = 256;

	/** Share of a new sample in the average. */
	private static final double WEIGHT = 0.1;

	private final LinkedHashSet<Long> prefixes = new LinkedHashSet<>();

	private double hitShare;

	private PrefixMemory(double hitShare) {
		this.hitShare = hitShare;
	}

	/**
	 * Returns a memory that has seen nothing.
	 * @return the memory
	 */
	public static PrefixMemory create() {
		return new PrefixMemory(0);
	}

	/**
	 * Returns a memory that has seen nothing.
	 * @param hitShare share of a prompt taken to be cached until that was measured, from
	 * 0 to 1
	 * @return the memory
	 */
	public static PrefixMemory assuming(double hitShare) {
		return new PrefixMemory(hitShare);
	}

	/**
	 * Returns the share of a prompt that is expected to be cached.
	 * @param prefixHash hash of the prompt's first block; 0 if none
	 * @return from 0 to 1
	 */
	public double cachedShare(long prefixHash) {
		return (prefixHash != 0 && this.prefixes.contains(prefixHash)) ? this.hitShare : 0;
	}

	/**
	 * Remembers that a prompt with this prefix is prefilled.
	 * @param prefixHash hash of the prompt's first block; 0 if none
	 */
	public void used(long prefixHash) {
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
	 * Learns what was saved for a prompt whose prefix was expected to be cached.
	 * @param promptTokens tokens of the prompt
	 * @param cachedTokens tokens of it that were cached
	 */
	public void observe(int promptTokens, int cachedTokens) {
		if (promptTokens > 0 && cachedTokens >= 0) {
			double sample = Math.min(1.0, (double) cachedTokens / promptTokens);
			this.hitShare += WEIGHT * (sample - this.hitShare);
		}
	}

}
