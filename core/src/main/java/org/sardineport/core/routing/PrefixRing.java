package org.sardineport.core.routing;

import java.util.Arrays;
import java.util.Comparator;
import java.util.List;

import com.dynatrace.hash4j.hashing.Hashing;
import org.sardineport.core.backend.BackendServer;

/**
 * Consistent hash of prompt prefixes over backend servers, so that all daemons send equal
 * prefixes to the same place without a message. Immutable.
 */
final class PrefixRing {

	/** Most points of each backend server on the ring. */
	private static final int MOST_POINTS = 32;

	/** Least points of each backend server on the ring. */
	private static final int LEAST_POINTS = 4;

	/** Points on a ring that needs neither bound. */
	private static final int RING_POINTS = 8192;

	private final long[] hashes;

	private final int[] servers;

	private PrefixRing(long[] hashes, int[] servers) {
		this.hashes = hashes;
		this.servers = servers;
	}

	static PrefixRing of(List<BackendServer> servers) {
		int each = Math.max(LEAST_POINTS, Math.min(MOST_POINTS, RING_POINTS / Math.max(1, servers.size())));
		Point[] points = new Point[servers.size() * each];
		for (int i = 0; i < points.length; i++) {
			String name = servers.get(i / each).id().value() + '#' + (i % each);
			points[i] = new Point(Hashing.komihash5_0().hashCharsToLong(name), i / each);
		}
		Arrays.sort(points, Comparator.comparingLong(Point::hash));
		return new PrefixRing(Arrays.stream(points).mapToLong(Point::hash).toArray(),
				Arrays.stream(points).mapToInt(Point::server).toArray());
	}

	/**
	 * Returns the place of a prefix.
	 * @param prefixHash hash of the prompt's first block
	 * @return index of the backend server, or -1 if there is none
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
	 * @param hash its place
	 * @param server index of its backend server
	 */
	private record Point(long hash, int server) {

	}

}
