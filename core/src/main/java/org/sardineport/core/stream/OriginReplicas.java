package org.sardineport.core.stream;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.sardineport.core.fleet.FleetSnapshot;
import org.sardineport.core.fleet.Member;
import org.sardineport.core.fleet.MemberStatus;
import org.sardineport.core.identity.FailureDomain;
import org.sardineport.core.ownership.Ownership;

/**
 * Chooses the daemons that remember a stream's origin, by rendezvous hashing over the
 * members and spread over failure domains. A member that joins or leaves changes at most
 * a few places, which asking more daemons than were told makes up for. Stateless and
 * thread-safe.
 */
public final class OriginReplicas {

	/** Number of daemons that remember a stream. */
	public static final int REPLICAS = 4;

	/** Number of other daemons that are asked, more than were told. */
	public static final int ASKED = 6;

	/** Maximum number of daemons told in one failure domain, if others have enough. */
	private static final int TOLD_IN_A_DOMAIN = 2;

	/**
	 * Maximum number of daemons asked in one failure domain, if others have enough. One
	 * more than are told, so that a member that joins hides none of those told.
	 */
	private static final int ASKED_IN_A_DOMAIN = 3;

	private OriginReplicas() {
	}

	/**
	 * Returns the other daemons to tell of a stream. All daemons with the same view
	 * choose the same ones, so that each of them hears of all streams of a key.
	 * @param key key of the stream
	 * @param snapshot the fleet as this daemon knows it
	 * @return at most {@link #REPLICAS} eligible daemons, one less if this daemon is
	 * among the best itself
	 */
	public static List<Member> told(StreamKey key, FleetSnapshot snapshot) {
		return chosen(key, snapshot).stream().filter((member) -> !member.id().equals(snapshot.self())).toList();
	}

	/**
	 * Returns the other daemons to ask for a stream. Daemons that are suspected or
	 * leaving may still answer and are asked too if they ranked among the best.
	 * @param key key of the stream
	 * @param snapshot the fleet as this daemon knows it
	 * @return the daemons, at most twice {@link #ASKED}
	 */
	public static List<Member> asked(StreamKey key, FleetSnapshot snapshot) {
		String text = key.toString();
		List<Member> others = others(snapshot);
		Set<Member> asked = new LinkedHashSet<>(choose(Ownership.ranking(text, others), ASKED, ASKED_IN_A_DOMAIN));
		if (others.stream().anyMatch((member) -> !member.status().isEligible())) {
			asked.addAll(choose(Ownership.rankingOfAll(text, others), ASKED, ASKED_IN_A_DOMAIN));
		}
		return List.copyOf(asked);
	}

	/**
	 * Returns whether this daemon itself is among the best for a stream, so that others
	 * ask it.
	 * @param key key of the stream
	 * @param snapshot the fleet as this daemon knows it
	 * @return whether it is
	 */
	public static boolean isSelfChosen(StreamKey key, FleetSnapshot snapshot) {
		return chosen(key, snapshot).stream().anyMatch((member) -> member.id().equals(snapshot.self()));
	}

	private static List<Member> chosen(StreamKey key, FleetSnapshot snapshot) {
		return choose(Ownership.ranking(key.toString(), snapshot.members()), REPLICAS, TOLD_IN_A_DOMAIN);
	}

	private static List<Member> others(FleetSnapshot snapshot) {
		return snapshot.members()
			.stream()
			.filter((member) -> !member.id().equals(snapshot.self()) && member.status() != MemberStatus.DEAD)
			.toList();
	}

	/**
	 * Chooses the best members with a maximum in each failure domain. If that leaves too
	 * few, the best of the others are added.
	 * @param ranked the members, the best first
	 * @param maximum maximum number to choose
	 * @param maximumInADomain maximum number in one failure domain, if others have enough
	 * @return the members chosen
	 */
	private static List<Member> choose(List<Member> ranked, int maximum, int maximumInADomain) {
		Map<FailureDomain, Integer> counts = new HashMap<>();
		List<Member> chosen = new ArrayList<>();
		List<Member> skipped = new ArrayList<>();
		for (Member member : ranked) {
			if (chosen.size() == maximum) {
				return chosen;
			}
			boolean hasRoom = counts.merge(member.failureDomain(), 1, Integer::sum) <= maximumInADomain;
			(hasRoom ? chosen : skipped).add(member);
		}
		int missing = Math.min(maximum - chosen.size(), skipped.size());
		chosen.addAll(skipped.subList(0, missing));
		return chosen;
	}

}
