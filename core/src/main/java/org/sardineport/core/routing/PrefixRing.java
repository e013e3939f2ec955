package org.sardineport.core.routing;

import java.util.Arrays;
import java.util.Comparator;
import java.util.List;

import com.dynatrace.hash4j.hashing.Hashing;
import org.sardineport.core.backend.BackendServer;

/**
 * Consistent hash ring that maps prompt prefixes to backend servers. All daemons compute
 * the same mapping, so that equal prefixes go to the same backend server without
 * coordination. Immutable.
 */
final class PrefixRing {

	/** Maximum number of points of each backend server on the ring. */
	private static final int MAX_POINTS_PER_SERVER = 32;

	/** Minimum number of points of each backend server on the ring. */
	private static final int MIN_POINTS_PER_SERVER = 4;

	/** Total number of points aimed at, within the bounds per backend server. */
	private static final int TARGET_RING_POINTS = 8192;

	private final long[] hashes;

	private final int[] servers;

	private PrefixRing(long[] hashes, int[] servers) {
		this.hashes = hashes;
		this.servers = servers;
	}

	static PrefixRing of(List<BackendServer> servers) {
		int pointsPerServer = Math.max(MIN_POINTS_PER_SERVER,
				Math.min(MAX_POINTS_PER_SERVER, TARGET_RING_POINTS / Math.max(1, servers.size())));
		Point[] points = new Point[servers.size() * pointsPerServer];
		for (int i = 0; i < points.length; i++) {
			String name = servers.get(i / pointsPerServer).id().value() + '#' + (i % pointsPerServer);
			points[i] = new Point(Hashing.komihash5_0().hashCharsToLong(name), i / pointsPerServer);
		}
		Arrays.sort(points, Comparator.comparingLong(Point::hash));
		return new PrefixRing(Arrays.stream(points).mapToLong(Point::hash).toArray(),
				Arrays.stream(points).mapToInt(Point::server).toArray());
	}

	/**
	 * Returns the backend server that a prefix is mapped to.
	 * @param prefixHash hash of the prompt's first block
	 * @return index of the backend server, or -1 if the ring is empty
	 */
	int home(long prefixHash) {
		if (this.hashes.length == 0) {
			return -1;
		}
		int found = Arrays.binarySearch(this.hashes, mix(prefixHash));
		int next = (found >= 0) ? found : -found - 1;
		return this.servers[next % this.servers.length];
	}

	private static long mix(long value) {
		long mixed = (value ^ (value >>> 32)) * 0x9E3779B97F4A7C15L;
		return mixed ^ (mixed >>> 29);
	}

	/**
	 * A point on the ring.
	 *
	 * @param hash position on the ring
	 * @param server index of its backend server
	 */
	private record Point(long hash, int server) {

	}

}
