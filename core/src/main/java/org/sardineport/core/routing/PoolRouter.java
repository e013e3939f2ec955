package org.sardineport.core.routing;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.backend.SoftwareVersion;

/**
 * Selects a backend server of one pool by predicted finish time. A request that requires
 * a software version is routed among the backend servers of that version which take bound
 * requests, as if they were the pool. In a small pool all backend servers are compared.
 * In a large pool the router first compares those that this daemon owns, whose permits
 * need no message, and the home of the prompt's prefix. It samples a few others only if
 * none of these has room and finishes in time. Not thread-safe.
 */
public final class PoolRouter {

	/** Largest pool in which all backend servers are compared. */
	private static final int MAX_FULL_SCAN = 16;

	/** Number of backend servers sampled from a larger pool. */
	private static final int SAMPLE_SIZE = 4;

	/**
	 * Number of allowed backend servers compared in a larger pool if the sample contains
	 * none.
	 */
	private static final int MAX_SCANNED_CANDIDATES = 4;

	/** Cache hit ratio assumed at a prefix's home before the first measurement. */
	private static final double INITIAL_HIT_RATIO = 0.3;

	/** Weight of a new measurement in the moving average of the cache hit ratio. */
	private static final double HIT_RATIO_WEIGHT = 0.05;

	private final PoolMembers members;

	private final ServerView[] servers;

	private final Candidates all;

	private final Map<SoftwareVersion, Candidates> byVersion;

	private final PrefixRing ring;

	private final RandomGenerator random;

	private double hitRatio;

	private PoolRouter(PoolMembers members, List<ServerView> owned, PrefixRing ring, double initialHitRatio,
			RandomGenerator random) {
		this.hitRatio = initialHitRatio;
		this.members = members;
		this.servers = members.unbound().toArray(new ServerView[0]);
		this.all = Candidates.of(members.unbound(), among(members.unbound(), owned));
		this.byVersion = Candidates.byVersion(members.bound(), among(members.bound(), owned));
		this.ring = ring;
		this.random = Objects.requireNonNull(random, "random must not be null");
	}

	private static List<ServerView> among(List<ServerView> members, List<ServerView> owned) {
		return owned.stream().filter(members::contains).toList();
	}

	/**
	 * Returns a router that assumes the default cache hit ratio until the first
	 * measurement.
	 * @param servers backend servers of the pool
	 * @param owned backend servers of the pool whose permits this daemon grants
	 * @param random source of randomness
	 * @return the router
	 */
	public static PoolRouter of(List<ServerView> servers, List<ServerView> owned, RandomGenerator random) {
		return withHitRatio(INITIAL_HIT_RATIO, servers, owned, random);
	}

	/**
	 * Returns a router for engines whose cache hit ratio is roughly known.
	 * @param initialHitRatio share of a prompt's tokens assumed to be cached at the
	 * prefix's home until the first measurement, from 0 to 1
	 * @param servers backend servers of the pool
	 * @param owned backend servers of the pool whose permits this daemon grants
	 * @param random source of randomness
	 * @return the router
	 */
	public static PoolRouter withHitRatio(double initialHitRatio, List<ServerView> servers, List<ServerView> owned,
			RandomGenerator random) {
		return withHitRatio(initialHitRatio, PoolMembers.all(servers), owned, random);
	}

	/**
	 * Returns a router of a pool of which not every backend server takes every request.
	 * @param initialHitRatio share of a prompt's tokens assumed to be cached at the
	 * prefix's home until the first measurement, from 0 to 1
	 * @param members backend servers of the pool
	 * @param owned backend servers of the pool whose permits this daemon grants
	 * @param random source of randomness
	 * @return the router
	 */
	public static PoolRouter withHitRatio(double initialHitRatio, PoolMembers members, List<ServerView> owned,
			RandomGenerator random) {
		PrefixRing ring = PrefixRing.of(members.unbound().stream().map(ServerView::server).toList());
		return new PoolRouter(members, owned, ring, initialHitRatio, random);
	}

	/**
	 * Returns a router of the same backend servers after owners have changed.
	 * @param owned backend servers of the pool whose permits this daemon grants now
	 * @return a router with the measurements of this one
	 */
	public PoolRouter withOwned(List<ServerView> owned) {
		return new PoolRouter(this.members, owned, this.ring, this.hitRatio, this.random);
	}

	/**
	 * Returns whether this router is for certain backend servers.
	 * @param other the backend servers, in the order of the listing
	 * @return whether they are the same views and take the same requests
	 */
	public boolean isFor(PoolMembers other) {
		return this.members.equals(other);
	}

	/**
	 * Returns whether a backend server is the preferred one for prompts with a prefix.
	 * @param view the backend server
	 * @param prefixHash hash of the prompt's first block; 0 if none
	 * @return whether the backend server is the prefix's home; false if there is no
	 * prefix
	 */
	public boolean isHome(ServerView view, long prefixHash) {
		return view == home(prefixHash);
	}

	private @Nullable ServerView home(long prefixHash) {
		int index = (prefixHash == 0) ? -1 : this.ring.home(prefixHash);
		return (index < 0) ? null : this.servers[index];
	}

	/**
	 * Updates the cache hit ratio with a measurement from a prefix's home.
	 * @param promptTokens tokens of the prompt; the call has no effect if 0
	 * @param cachedTokens prompt tokens that were cached; negative if unknown, in which
	 * case the call has no effect
	 */
	public void observeHome(int promptTokens, int cachedTokens) {
		if (promptTokens > 0 && cachedTokens >= 0) {
			this.hitRatio += HIT_RATIO_WEIGHT * ((double) cachedTokens / promptTokens - this.hitRatio);
		}
	}

	/**
	 * Selects the allowed backend server with the lowest cost, preferring suitable ones.
	 * An isolated backend server whose probe is due is selected at once for a request
	 * that may be the probe.
	 * @param request the request
	 * @param allowed accepts the backend servers that may be selected
	 * @param now the current time in milliseconds
	 * @return the selected backend server, or {@code null} if none is allowed
	 */
	public @Nullable ServerView choose(RoutingRequest request, Predicate<ServerView> allowed, long now) {
		ServerView home = home(request.prefixHash());
		Candidates candidates = candidates(request.requiredVersion());
		if (candidates == null) {
			return null;
		}
		ServerView[] members = candidates.servers();
		Best best = new Best(request, home, allowed, now);
		if (members.length <= MAX_FULL_SCAN) {
			best.consider(members);
			return best.view;
		}
		best.consider(candidates.owned());
		if (home != null) {
			best.consider(home);
		}
		if (best.isSettled()) {
			return best.view;
		}
		for (int i = 0; i < SAMPLE_SIZE; i++) {
			best.consider(members[this.random.nextInt(members.length)]);
		}
		if (best.view == null) {
			best.considerFirstAllowed(members, this.random.nextInt(members.length));
		}
		return best.view;
	}

	private @Nullable Candidates candidates(@Nullable SoftwareVersion requiredVersion) {
		return (requiredVersion != null) ? this.byVersion.get(requiredVersion) : this.all;
	}

	/**
	 * Returns whether the pool has a backend server of a software version.
	 * @param version the version
	 * @return whether at least one is listed with it
	 */
	public boolean hasVersion(SoftwareVersion version) {
		return this.byVersion.containsKey(version);
	}

	/**
	 * Returns the cost of running a request on a backend server, by which backend servers
	 * are compared.
	 * @param view the backend server
	 * @param request the request
	 * @param now the current time in milliseconds
	 * @return the cost in milliseconds; lower is better
	 */
	public double costMillis(ServerView view, RoutingRequest request, long now) {
		return view.costMillis(request, expectedHitRatio(view, home(request.prefixHash()), now), now);
	}

	/**
	 * Predicts when a request would finish on a backend server.
	 * @param view the backend server
	 * @param request the request
	 * @param now the current time in milliseconds
	 * @return milliseconds from now
	 */
	public double finishMillis(ServerView view, RoutingRequest request, long now) {
		return view.finishMillis(request, expectedHitRatio(view, home(request.prefixHash()), now), now);
	}

	/**
	 * Returns whether a backend server is suitable for a request. An isolated one never
	 * is.
	 * @param view the backend server
	 * @param request the request
	 * @param now the current time in milliseconds
	 * @return whether the request is expected to finish before its deadline without a
	 * preemption
	 */
	public boolean suits(ServerView view, RoutingRequest request, long now) {
		return !view.state().isolated()
				&& view.suits(request, expectedHitRatio(view, home(request.prefixHash()), now), now);
	}

	private double expectedHitRatio(ServerView view, @Nullable ServerView home, long now) {
		return (view == home && view.hasRoom(now)) ? this.hitRatio : 0;
	}

	/**
	 * The best candidate found so far.
	 */
	private final class Best {

		private final RoutingRequest request;

		private final @Nullable ServerView home;

		private final Predicate<ServerView> allowed;

		private final long now;

		private @Nullable ServerView view;

		private boolean suitable;

		private boolean isProbe;

		private double cost = Double.POSITIVE_INFINITY;

		Best(RoutingRequest request, @Nullable ServerView home, Predicate<ServerView> allowed, long now) {
			this.request = request;
			this.home = home;
			this.allowed = allowed;
			this.now = now;
		}

		void consider(ServerView[] candidates) {
			for (ServerView candidate : candidates) {
				consider(candidate);
			}
		}

		void consider(ServerView candidate) {
			if (this.isProbe || !isAllowed(candidate)) {
				return;
			}
			if (this.request.mayProbe() && candidate.isProbeDue(this.now)) {
				this.isProbe = true;
				this.view = candidate;
				return;
			}
			double expected = expectedHitRatio(candidate, this.home, this.now);
			boolean isolated = candidate.state().isolated();
			boolean candidateSuitable = !isolated && candidate.suits(this.request, expected, this.now);
			double candidateCost = (isolated) ? Double.MAX_VALUE
					: candidate.costMillis(this.request, expected, this.now);
			if ((candidateSuitable == this.suitable) ? candidateCost < this.cost : candidateSuitable) {
				this.suitable = candidateSuitable;
				this.cost = candidateCost;
				this.view = candidate;
			}
		}

		private boolean isAllowed(ServerView candidate) {
			return this.request.acceptsVersion(candidate.server().softwareVersion()) && this.allowed.test(candidate);
		}

		/**
		 * Returns whether the search can stop.
		 * @return whether the candidate is due for a probe, or is suitable and has room
		 */
		boolean isSettled() {
			return this.isProbe || (this.suitable && this.view != null && this.view.hasRoom(this.now));
		}

		/**
		 * Compares the first allowed backend servers, for use when no sampled one is
		 * allowed.
		 * @param members the backend servers
		 * @param start index at which the scan starts; it wraps around
		 */
		void considerFirstAllowed(ServerView[] members, int start) {
			int found = 0;
			for (int i = 0; i < members.length && found < MAX_SCANNED_CANDIDATES; i++) {
				ServerView candidate = members[(start + i) % members.length];
				found += (isAllowed(candidate)) ? 1 : 0;
				consider(candidate);
			}
		}

	}

}
