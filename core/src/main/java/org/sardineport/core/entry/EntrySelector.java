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
 * Selects the addresses of daemons for callers. Daemons are drawn at random, weighted by
 * the free capacity that they reported last. Callers are thus spread by load, and a stale
 * load report does not direct all of them to one daemon. Daemons that are leaving,
 * suspected or dead are never selected. Daemons without a configuration are not selected
 * while others have one. Not thread-safe.
 */
public final class EntrySelector {

	/** Maximum number of addresses in a response of {@link #select}. */
	public static final int MAX_ADDRESSES = 4;

	private static final int FULL_LOAD_PERCENT = 100;

	private final Duration keepTime;

	private final RandomGenerator random;

	private EntrySelector(Duration keepTime, RandomGenerator random) {
		this.keepTime = keepTime;
		this.random = random;
	}

	/**
	 * Returns a selector.
	 * @param keepTime time during which callers may cache a response
	 * @param random source of randomness
	 * @return the selector
	 */
	public static EntrySelector create(Duration keepTime, RandomGenerator random) {
		Objects.requireNonNull(keepTime, "keepTime must not be null");
		Objects.requireNonNull(random, "random must not be null");
		return new EntrySelector(keepTime, random);
	}

	/**
	 * Selects up to {@value #MAX_ADDRESSES} addresses. No failure domain repeats until
	 * all domains with candidates have been used.
	 * @param fleet the fleet as known to this daemon
	 * @return the response to one caller
	 */
	public EntryResponse select(FleetSnapshot fleet) {
		List<Member> candidates = candidates(fleet);
		List<NetworkAddress> addresses = new ArrayList<>();
		Set<FailureDomain> usedDomains = new HashSet<>();
		while (addresses.size() < MAX_ADDRESSES && !candidates.isEmpty()) {
			List<Member> inUnusedDomains = candidates.stream()
				.filter((member) -> !usedDomains.contains(member.failureDomain()))
				.toList();
			Member drawn = draw((inUnusedDomains.isEmpty()) ? candidates : inUnusedDomains);
			if (inUnusedDomains.isEmpty()) {
				usedDomains.clear();
			}
			usedDomains.add(drawn.failureDomain());
			candidates.remove(drawn);
			addresses.add(drawn.callerAddress());
		}
		return new EntryResponse(addresses, this.keepTime);
	}

	/**
	 * Selects the addresses of all serving daemons, for callers that distribute their
	 * connections themselves.
	 * @param fleet the fleet as known to this daemon
	 * @param maximum maximum number of addresses
	 * @return the response to one caller
	 */
	public EntryResponse selectAll(FleetSnapshot fleet, int maximum) {
		List<Member> candidates = candidates(fleet);
		List<NetworkAddress> addresses = new ArrayList<>();
		while (addresses.size() < maximum && !candidates.isEmpty()) {
			Member drawn = draw(candidates);
			candidates.remove(drawn);
			addresses.add(drawn.callerAddress());
		}
		return new EntryResponse(addresses, this.keepTime);
	}

	private static List<Member> candidates(FleetSnapshot fleet) {
		List<Member> eligible = fleet.members().stream().filter((member) -> member.status().isEligible()).toList();
		List<Member> configured = eligible.stream()
			.filter((member) -> member.configurationVersion() != ConfigurationSnapshot.NO_VERSION)
			.toList();
		return new ArrayList<>((configured.isEmpty()) ? eligible : configured);
	}

	private Member draw(List<Member> candidates) {
		int total = candidates.stream().mapToInt(EntrySelector::weight).sum();
		int drawn = this.random.nextInt(total);
		for (Member member : candidates) {
			drawn -= weight(member);
			if (drawn < 0) {
				return member;
			}
		}
		throw new IllegalStateException("drawn number exceeds the sum of the weights");
	}

	private static int weight(Member member) {
		return Math.max(1, FULL_LOAD_PERCENT - member.load());
	}

}
