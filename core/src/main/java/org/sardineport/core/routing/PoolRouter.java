package org.sardineport.core.routing;

import java.util.List;
import java.util.Objects;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;

import org.jspecify.annotations.Nullable;

/**
 * Selects a backend server of one pool by predicted finish time. In a small pool all
 * backend servers are compared. In a large pool the router first compares those that this
 * daemon owns, whose permits need no message, and the home of the prompt's prefix. It
 * samples a few others only if none of these has room and finishes in time. Not
 * thread-safe.
 */
public final class PoolRouter {

	/** Largest pool in which all backend servers are compared. */
	private static final int MAX_FULL_SCAN = 16;

	/** Number of backend servers sampled from a larger pool. */
	private static final int SAMPLE_SIZE = 4;

	/** Maximum number of owned backend servers that are compared in a larger pool. */
	private static final int MAX_OWNED_CANDIDATES = 6;

	/** Cache hit ratio assumed at a prefix's home before the first measurement. */
	private static final double INITIAL_HIT_RATIO = 0.3;

	/** Weight of a new measurement in the moving average of the cache hit ratio. */
	private static final double HIT_RATIO_WEIGHT = 0.05;

	private final ServerView[] servers;

	private final ServerView[] owned;

	private final PrefixRing ring;

	private final RandomGenerator random;

	private double hitRatio;

	private PoolRouter(List<ServerView> servers, List<ServerView> owned, double initialHitRatio,
			RandomGenerator random) {
		this.hitRatio = initialHitRatio;
		this.servers = servers.toArray(new ServerView[0]);
		this.owned = owned.stream().limit(MAX_OWNED_CANDIDATES).toArray(ServerView[]::new);
		this.ring = PrefixRing.of(servers.stream().map(ServerView::server).toList());
		this.random = Objects.requireNonNull(random, "random must not be null");
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
		return new PoolRouter(servers, owned, initialHitRatio, random);
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
		Best best = new Best(request, home, allowed, now);
		if (this.servers.length <= MAX_FULL_SCAN) {
			best.consider(this.servers);
			return best.view;
		}
		best.consider(this.owned);
		if (home != null) {
			best.consider(home);
		}
		if (best.isSettled()) {
			return best.view;
		}
		for (int i = 0; i < SAMPLE_SIZE; i++) {
			best.consider(this.servers[this.random.nextInt(this.servers.length)]);
		}
		if (best.view == null) {
			best.considerFirstAllowedFrom(this.random.nextInt(this.servers.length));
		}
		return best.view;
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
			if (this.isProbe || !this.allowed.test(candidate)) {
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

		/**
		 * Returns whether the search can stop.
		 * @return whether the candidate is due for a probe, or is suitable and has room
		 */
		boolean isSettled() {
			return this.isProbe || (this.suitable && this.view != null && this.view.hasRoom(this.now));
		}

		/**
		 * Scans the pool for the first allowed backend server, for use when no sampled
		 * one is allowed.
		 * @param start index at which the scan starts; it wraps around
		 */
		void considerFirstAllowedFrom(int start) {
			ServerView[] all = PoolRouter.this.servers;
			for (int i = 0; i < all.length && this.view == null; i++) {
				consider(all[(start + i) % all.length]);
			}
		}

	}

}
