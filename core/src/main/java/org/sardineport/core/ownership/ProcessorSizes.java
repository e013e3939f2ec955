package org.sardineport.core.ownership;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

import org.sardineport.core.fleet.Member;
import org.sardineport.core.identity.FailureDomain;

/**
 * Tells which daemons have much processor time, compared with the others of their failure
 * domain and with the whole fleet. Unless every eligible daemon states its processor time
 * none is preferred, so that daemons of a version that does not know it agree with the
 * others. Immutable.
 *
 * @param largest the most processor time of an eligible daemon, in percent of a core; 0
 * if none is preferred
 * @param largestByDomain the same for each failure domain; empty if none is preferred
 */
record ProcessorSizes(int largest, Map<FailureDomain, Integer> largestByDomain) {

	/** No daemon is preferred. */
	static final ProcessorSizes UNKNOWN = new ProcessorSizes(0, Map.of());

	/** Part of the most processor time from which on a daemon is preferred. */
	private static final double LARGE_PART = 0.5;

	/**
	 * Returns the sizes of the daemons of a fleet.
	 * @param members the known daemons; ineligible ones are ignored
	 * @return the sizes
	 */
	static ProcessorSizes of(Collection<Member> members) {
		Map<FailureDomain, Integer> byDomain = new HashMap<>();
		int largest = 0;
		for (Member member : members) {
			if (!member.status().isEligible()) {
				continue;
			}
			if (member.processorPercent() == 0) {
				return UNKNOWN;
			}
			byDomain.merge(member.failureDomain(), member.processorPercent(), Math::max);
			largest = Math.max(largest, member.processorPercent());
		}
		return new ProcessorSizes(largest, byDomain);
	}

	boolean isLargeInDomain(Member member) {
		return isLarge(member, this.largestByDomain.getOrDefault(member.failureDomain(), 0));
	}

	boolean isLargeInFleet(Member member) {
		return isLarge(member, this.largest);
	}

	private static boolean isLarge(Member member, int reference) {
		return member.processorPercent() >= reference * LARGE_PART;
	}

}
