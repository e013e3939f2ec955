package org.sardineport.core.routing;

import java.util.Arrays;
import java.util.Comparator;
import java.util.List;

import com.dynatrace.hash4j.hashing.Hashing;
import org.jspecify.annotations.Nullable;
import org.sardineport.core.backend.BackendServer;

/**
 * Consistent hash ring that maps prompt prefixes to backend servers. All daemons compute
 * the same mapping, so that equal prefixes go to the same backend server without
 * coordination. The points are computed at the first use, as listings change far more
 * often than prefixes are used in most fleets. Not thread-safe.
 */
final class PrefixRing {

	/** Maximum number of points of each backend server on the ring. */
	private static final int MAX_POINTS_PER_SERVER = 32;

	/** Minimum number of points of each backend server on the ring. */
	private static final int MIN_POINTS_PER_SERVER = 4;

	/** Total number of points aimed at, within the bounds per backend server. */
	private static final int TARGET_RING_POINTS = 8192;

	private final List<BackendServer> listed;

	private long @Nullable [] hashes;

	private int[] servers = new int[0];

	private PrefixRing(List<BackendServer> listed) {
		this.listed = listed;
	}

	static PrefixRing of(List<BackendServer> servers) {
		return new PrefixRing(List.copyOf(servers));
	}

	private long[] compute() {
		int pointsPerServer = Math.max(MIN_POINTS_PER_SERVER,
				Math.min(MAX_POINTS_PER_SERVER, TARGET_RING_POINTS / Math.max(1, this.listed.size())));
		Point[] points = new Point[this.listed.size() * pointsPerServer];
		for (int i = 0; i < points.length; i++) {
			String name = this.listed.get(i / pointsPerServer).id().value() + '#' + (i % pointsPerServer);
			points[i] = new Point(Hashing.komihash5_0().hashCharsToLong(name), i / pointsPerServer);
		}
		Arrays.sort(points, Comparator.comparingLong(Point::hash));
		this.servers = Arrays.stream(points).mapToInt(Point::server).toArray();
		return Arrays.stream(points).mapToLong(Point::hash).toArray();
	}

	/**
	 * Returns the backend server that a prefix is mapped to.
	 * @param prefixHash hash of the prompt's first block
	 * @return index of the backend server, or -1 if the ring is empty
	 */
	int home(long prefixHash) {
		long[] points = this.hashes;
		if (points == null) {
			points = compute();
			this.hashes = points;
		}
		if (points.length == 0) {
			return -1;
		}
		int found = Arrays.binarySearch(points, mix(prefixHash));
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
