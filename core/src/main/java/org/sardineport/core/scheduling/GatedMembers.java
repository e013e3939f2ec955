package org.sardineport.core.scheduling;

import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;
import org.sardineport.core.backend.SoftwareVersion;
import org.sardineport.core.rollout.VersionGate;
import org.sardineport.core.routing.PoolMembers;
import org.sardineport.core.routing.ServerView;

/**
 * Static method to divide the backend servers of a pool by the gate of their software
 * versions.
 */
final class GatedMembers {

	private static final Hasher64 HASHER = Hashing.komihash5_0();

	private GatedMembers() {
	}

	/**
	 * Divides the backend servers of a pool. If only a few of a version share the
	 * requests bound to it, all daemons select the same ones.
	 * @param views the backend servers
	 * @param gate the gate of the pool
	 * @return the backend servers by the requests that they take
	 */
	static PoolMembers of(List<ServerView> views, VersionGate gate) {
		if (gate.equals(VersionGate.OPEN)) {
			return PoolMembers.all(views);
		}
		List<ServerView> unbound = views.stream().filter((view) -> gate.takesUnbound(version(view))).toList();
		List<ServerView> bound = views.stream().filter((view) -> gate.takesBound(version(view))).toList();
		Set<ServerView> excess = new HashSet<>();
		bound.stream()
			.map(GatedMembers::version)
			.distinct()
			.forEach((version) -> excess.addAll(excess(bound, version, gate)));
		return new PoolMembers(unbound, bound.stream().filter((view) -> !excess.contains(view)).toList());
	}

	private static List<ServerView> excess(List<ServerView> bound, SoftwareVersion version, VersionGate gate) {
		int maximum = gate.servers(version);
		if (maximum == 0) {
			return List.of();
		}
		Comparator<ServerView> order = Comparator.comparingLong((view) -> score(view, gate.revision()));
		return bound.stream()
			.filter((view) -> version(view).equals(version))
			.sorted(order.thenComparing((view) -> view.server().id().value()))
			.skip(maximum)
			.toList();
	}

	private static long score(ServerView view, long revision) {
		return HASHER.hashStream().putLong(revision).putString(view.server().id().value()).getAsLong();
	}

	private static SoftwareVersion version(ServerView view) {
		return view.server().softwareVersion();
	}

}
