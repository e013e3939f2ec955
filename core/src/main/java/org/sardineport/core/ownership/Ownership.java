package org.sardineport.core.ownership;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;
import org.sardineport.core.backend.BackendServer;
import org.sardineport.core.fleet.Member;
import org.sardineport.core.identity.DaemonId;

/**
 * Assigns backend servers to eligible daemons by rendezvous hashing. Each daemon has a
 * score for each backend server, and the daemon with the highest score is the owner.
 * Daemons in the failure domain of the backend server take precedence over all others,
 * and among them, for a backend server with short runs, those with much processor time:
 * each of its requests costs the owner several messages. When a daemon joins or leaves,
 * only the backend servers that it gains or loses change their owner.
 *
 * <p>
 * Ownership is a hint that avoids waste and no guarantee. While the membership views of
 * two daemons differ, both may consider themselves the owner. Stateless and thread-safe.
 */
public final class Ownership {

	private static final Hasher64 HASHER = Hashing.komihash5_0();

	private Ownership() {
	}

	/**
	 * Returns the owner of a backend server.
	 * @param server the backend server
	 * @param members the known daemons, in any order; ineligible ones are ignored
	 * @return the owner, or empty if no daemon is eligible
	 */
	public static Optional<Member> owner(BackendServer server, Collection<Member> members) {
		Objects.requireNonNull(server, "server must not be null");
		return successors(server, members, 1).stream().findFirst();
	}

	/**
	 * Returns the daemons to which permit requests are sent in turn, the owner first.
	 * @param server the backend server
	 * @param members the known daemons, in any order; ineligible ones are ignored
	 * @param maximum maximum number of daemons to return, at least 1
	 * @return the owner followed by its successors; empty if no daemon is eligible
	 * @throws IllegalArgumentException if {@code maximum} is less than 1
	 */
	public static List<Member> successors(BackendServer server, Collection<Member> members, int maximum) {
		Objects.requireNonNull(server, "server must not be null");
		if (maximum < 1) {
			throw new IllegalArgumentException("maximum must be at least 1, found %d".formatted(maximum));
		}
		ProcessorSizes sizes = ProcessorSizes.of(members);
		return members.stream()
			.filter((member) -> member.status().isEligible())
			.map((member) -> scored(server, member, sizes))
			.sorted(Scored.ORDER)
			.limit(maximum)
			.map(Scored::member)
			.toList();
	}

	/**
	 * Returns the owner of a fleet-wide resource with a key, such as the quota of an
	 * organisation. Daemons with much processor time take precedence, as all others send
	 * messages to the owner; no failure domain does.
	 * @param key the key
	 * @param members the known daemons, in any order; ineligible ones are ignored
	 * @return the owner, or empty if no daemon is eligible
	 */
	public static Optional<Member> ownerOfKey(String key, Collection<Member> members) {
		Objects.requireNonNull(key, "key must not be null");
		ProcessorSizes sizes = ProcessorSizes.of(members);
		return members.stream()
			.filter((member) -> member.status().isEligible())
			.map((member) -> new Scored(member, true, sizes.isLargeInFleet(member), score(key, member.id())))
			.min(Scored.ORDER)
			.map(Scored::member);
	}

	/**
	 * Ranks the eligible daemons for a key. No failure domain takes precedence.
	 * @param key the key
	 * @param members the known daemons, in any order; ineligible ones are ignored
	 * @return the eligible daemons, the owner of the key first
	 */
	public static List<Member> ranking(String key, Collection<Member> members) {
		return rankingOfAll(key, members.stream().filter((member) -> member.status().isEligible()).toList());
	}

	/**
	 * Ranks daemons for a key whatever their status.
	 * @param key the key
	 * @param members the daemons, in any order
	 * @return all of them, the one with the highest score first
	 */
	public static List<Member> rankingOfAll(String key, Collection<Member> members) {
		Objects.requireNonNull(key, "key must not be null");
		return members.stream()
			.map((member) -> new Scored(member, true, true, score(key, member.id())))
			.sorted(Scored.ORDER)
			.map(Scored::member)
			.toList();
	}

	static Scored scored(BackendServer server, Member member, ProcessorSizes sizes) {
		boolean local = member.failureDomain().equals(server.failureDomain());
		boolean large = !server.kind().hasShortRuns() || sizes.isLargeInDomain(member);
		return new Scored(member, local, large, score(server.id().value(), member.id()));
	}

	private static long score(String key, DaemonId daemon) {
		return HASHER.hashStream().putString(key).putString(daemon.value()).getAsLong();
	}

	/**
	 * A daemon with its score for one key.
	 *
	 * @param member the daemon
	 * @param local whether it is in the preferred failure domain
	 * @param large whether it has as much processor time as preferred
	 * @param score the score, an unsigned number
	 */
	record Scored(Member member, boolean local, boolean large, long score) {

		static final Comparator<Scored> ORDER = Comparator.comparing((Scored scored) -> !scored.local())
			.thenComparing((scored) -> !scored.large())
			.thenComparing((first, second) -> Long.compareUnsigned(second.score(), first.score()))
			.thenComparing((scored) -> scored.member().id());

	}

}
