package org.sardineport.core.scheduling;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

import com.dynatrace.hash4j.hashing.Hashing;
import org.sardineport.core.backend.BackendServer;
import org.sardineport.core.fleet.Member;
import org.sardineport.core.identity.DaemonId;

/**
 * Ownership by rendezvous hashing over the daemons of the backend server's failure
 * domain, or over all if none is there. Immutable.
 */
public final class RendezvousOwnership implements Ownership {

	private RendezvousOwnership() {
	}

	/**
	 * Returns the function.
	 * @return the function
	 */
	public static RendezvousOwnership create() {
		return new RendezvousOwnership();
	}

	@Override
	public Optional<DaemonId> owner(BackendServer server, List<Member> members) {
		List<Member> near = members.stream()
			.filter((member) -> member.failureDomain().equals(server.failureDomain()))
			.toList();
		return winner(server.id().value(), near.isEmpty() ? members : near);
	}

	/**
	 * Returns the daemon with the greatest weight for a key.
	 * @param key the key
	 * @param members the daemons
	 * @return the daemon, or empty if there is none
	 */
	static Optional<DaemonId> winner(String key, List<Member> members) {
		return members.stream()
			.max(Comparator.comparingLong((Member member) -> weight(key, member)).thenComparing(Member::id))
			.map(Member::id);
	}

	private static long weight(String key, Member member) {
		return Hashing.komihash5_0().hashCharsToLong(key + '|' + member.id().value());
	}

}
