package org.sardineport.core.entry;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.random.RandomGenerator;

import org.sardineport.core.configuration.ConfigurationSnapshot;
import org.sardineport.core.fleet.FleetSnapshot;
import org.sardineport.core.fleet.Member;
import org.sardineport.core.identity.FailureDomain;
import org.sardineport.core.identity.NetworkAddress;

/**
 * Chooses the addresses for callers. Daemons are drawn at random, weighted by the part of
 * their capacity that was free when last heard, so that callers spread by load and a
 * stale load draws no crowd. Daemons that leave, are suspected or dead are never named,
 * nor those without a configuration while others have one. Not safe for use by several
 * threads.
 */
public final class EntrySelector {

	/** Most addresses in an answer. */
	public static final int MAXIMUM_ADDRESSES = 4;

	private static final int FULL_LOAD = 100;

	private final Duration keepTime;

	private final RandomGenerator random;

	private EntrySelector(Duration keepTime, RandomGenerator random) {
		this.keepTime = keepTime;
		this.random = random;
	}

	/**
	 * Returns a selector.
	 * @param keepTime time for which callers may keep an answer
	 * @param random source of randomness
	 * @return the selector
	 */
	public static EntrySelector create(Duration keepTime, RandomGenerator random) {
		Objects.requireNonNull(keepTime, "keepTime must not be null");
		Objects.requireNonNull(random, "random must not be null");
		return new EntrySelector(keepTime, random);
	}

	/**
	 * Chooses addresses.
	 * @param fleet the fleet as this daemon knows it
	 * @return the answer for one caller
	 */
	public EntryAnswer select(FleetSnapshot fleet) {
		List<Member> candidates = candidates(fleet);
		List<NetworkAddress> addresses = new ArrayList<>();
		Set<FailureDomain> used = new HashSet<>();
		while (addresses.size() < MAXIMUM_ADDRESSES && !candidates.isEmpty()) {
			List<Member> elsewhere = candidates.stream()
				.filter((member) -> !used.contains(member.failureDomain()))
				.toList();
			Member drawn = draw((elsewhere.isEmpty()) ? candidates : elsewhere);
			if (elsewhere.isEmpty()) {
				used.clear();
			}
			used.add(drawn.failureDomain());
			candidates.remove(drawn);
			addresses.add(drawn.callerAddress());
		}
		return new EntryAnswer(addresses, this.keepTime);
	}

	/**
	 * Names all daemons that serve, for callers that spread their connections themselves.
	 * @param fleet the fleet as this daemon knows it
	 * @param most most addresses to name
	 * @return the answer for one caller
	 */
	public EntryAnswer selectAll(FleetSnapshot fleet, int most) {
		List<Member> candidates = candidates(fleet);
		List<NetworkAddress> addresses = new ArrayList<>();
		while (addresses.size() < most && !candidates.isEmpty()) {
			Member drawn = draw(candidates);
			candidates.remove(drawn);
			addresses.add(drawn.callerAddress());
		}
		return new EntryAnswer(addresses, this.keepTime);
	}

	private static List<Member> candidates(FleetSnapshot fleet) {
		List<Member> eligible = fleet.members().stream().filter((member) -> member.status().isEligible()).toList();
		List<Member> configured = eligible.stream()
			.filter((member) -> member.configurationVersion() != ConfigurationSnapshot.NO_VERSION)
			.toList();
		return new ArrayList<>((configured.isEmpty()) ? eligible : configured);
	}

	private Member draw(List<Member> from) {
		int total = from.stream().mapToInt(EntrySelector::weight).sum();
		int drawn = this.random.nextInt(total);
		for (Member member : from) {
			drawn -= weight(member);
			if (drawn < 0) {
				return member;
			}
		}
		throw new IllegalStateException("the weights must add up to their sum");
	}

	private static int weight(Member member) {
		return Math.max(1, FULL_LOAD - member.load());
	}

}
