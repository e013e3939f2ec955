package org.sardineport.core.routing;

import java.util.List;
import java.util.Objects;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;

import org.jspecify.annotations.Nullable;

/**
 * Chooses a backend server of one pool by predicted finish. Small pools are looked at
 * whole. Of large ones those that this daemon owns, whose permits cost no message, and
 * the home of the prompt's prefix go first; a few others are sampled if none of them has
 * room and finishes in time. Not safe for use by several threads.
 */
public final class PoolRouter {

	/** Largest pool that is looked at whole. */
	private static final int SCANNED = 16;

	/** Backend servers sampled from a larger pool. */
	private static final int SAMPLES = 4;

	/** Most backend servers looked at because this daemon owns them. */
	private static final int MOST_OWNED = 6;

	/** Share of a prompt taken to be cached at its home until that was measured. */
	private static final double FIRST_HIT_SHARE = 0.3;

	/** Share of a new measurement in the mean share of cached prompts. */
	private static final double HIT_WEIGHT = 0.05;

	private final ServerView[] servers;

	private final ServerView[] owned;

	private final PrefixRing ring;

	private final RandomGenerator random;

	private double hitShare;

	private PoolRouter(List<ServerView> servers, List<ServerView> owned, double hitShare, RandomGenerator random) {
		this.hitShare = hitShare;
		this.servers = servers.toArray(new ServerView[0]);
		this.owned = owned.stream().limit(MOST_OWNED).toArray(ServerView[]::new);
		this.ring = PrefixRing.of(servers.stream().map(ServerView::server).toList());
		this.random = Objects.requireNonNull(random, "random must not be null");
	}

	/**
	 * Returns a router.
	 * @param servers the pool
	 * @param owned those of the pool whose permits this daemon grants
	 * @param random source of randomness
	 * @return the router
	 */
	public static PoolRouter of(List<ServerView> servers, List<ServerView> owned, RandomGenerator random) {
		return assuming(FIRST_HIT_SHARE, servers, owned, random);
	}

	/**
	 * Returns a router for engines of which something is known.
	 * @param hitShare share of a prompt taken to be cached at its home until that was
	 * measured, from 0 to 1
	 * @param servers the pool
	 * @param owned those of the pool whose permits this daemon grants
	 * @param random source of randomness
	 * @return the router
	 */
	public static PoolRouter assuming(double hitShare, List<ServerView> servers, List<ServerView> owned,
			RandomGenerator random) {
		return new PoolRouter(servers, owned, hitShare, random);
	}

	/**
	 * Returns whether a backend server is where prompts with a prefix are sent to.
	 * @param view the backend server
	 * @param prefixHash hash of the prompt's first block; 0 if none
	 * @return whether it is the prefix's home
	 */
	public boolean isHome(ServerView view, long prefixHash) {
		return view == home(prefixHash);
	}

	private @Nullable ServerView home(long prefixHash) {
		int index = (prefixHash == 0) ? -1 : this.ring.home(prefixHash);
		return (index < 0) ? null : this.servers[index];
	}

	/**
	 * Learns what the cache of a prefix's home saved.
	 * @param promptTokens tokens of the prompt
	 * @param cachedTokens tokens of it that were cached; negative if that is not known
	 */
	public void observeHome(int promptTokens, int cachedTokens) {
		if (promptTokens > 0 && cachedTokens >= 0) {
			this.hitShare += HIT_WEIGHT * ((double) cachedTokens / promptTokens - this.hitShare);
		}
	}

	/**
	 * Chooses a backend server: of those that suit, or else of all, the one that finishes
	 * first.
	 * @param request the request
	 * @param allowed which ones may be chosen
	 * @param now the current time in milliseconds
	 * @return the choice, or {@code null} if none is allowed
	 */
	public @Nullable ServerView choose(RoutingRequest request, Predicate<ServerView> allowed, long now) {
		ServerView home = home(request.prefixHash());
		Best best = new Best(request, home, allowed, now);
		if (this.servers.length <= SCANNED) {
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
		for (int i = 0; i < SAMPLES; i++) {
			best.consider(this.servers[this.random.nextInt(this.servers.length)]);
		}
		if (best.view == null) {
			best.considerAnyFrom(this.random.nextInt(this.servers.length));
		}
		return best.view;
	}

	/**
	 * Rates a backend server for a request, for comparison with others.
	 * @param view the backend server
	 * @param request the request
	 * @param now the current time in milliseconds
	 * @return milliseconds from now; less is better
	 */
	public double costMillis(ServerView view, RoutingRequest request, long now) {
		return view.costMillis(request, cachedShare(view, home(request.prefixHash()), now), now);
	}

	/**
	 * Predicts the finish of a request on one backend server.
	 * @param view the backend server
	 * @param request the request
	 * @param now the current time in milliseconds
	 * @return milliseconds from now
	 */
	public double finishMillis(ServerView view, RoutingRequest request, long now) {
		return view.finishMillis(request, cachedShare(view, home(request.prefixHash()), now), now);
	}

	/**
	 * Returns whether a backend server suits a request.
	 * @param view the backend server
	 * @param request the request
	 * @param now the current time in milliseconds
	 * @return whether it is expected to finish in time without harm to others
	 */
	public boolean suits(ServerView view, RoutingRequest request, long now) {
		return !view.state().isolated() && view.suits(request, cachedShare(view, home(request.prefixHash()), now), now);
	}

	private double cachedShare(ServerView view, @Nullable ServerView home, long now) {
		return (view == home && view.hasRoom(now)) ? this.hitShare : 0;
	}

	/**
	 * The best backend server seen so far.
	 */
	private final class Best {

		private final RoutingRequest request;

		private final @Nullable ServerView home;

		private final Predicate<ServerView> allowed;

		private final long now;

		private @Nullable ServerView view;

		private boolean suits;

		private boolean probes;

		private double finish = Double.POSITIVE_INFINITY;

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
			if (this.probes || !this.allowed.test(candidate)) {
				return;
			}
			if (this.request.mayProbe() && candidate.isProbeDue(this.now)) {
				this.probes = true;
				this.view = candidate;
				return;
			}
			double cached = cachedShare(candidate, this.home, this.now);
			boolean isolated = candidate.state().isolated();
			boolean candidateSuits = !isolated && candidate.suits(this.request, cached, this.now);
			double candidateFinish = (isolated) ? Double.MAX_VALUE
					: candidate.costMillis(this.request, cached, this.now);
			if ((candidateSuits == this.suits) ? candidateFinish < this.finish : candidateSuits) {
				this.suits = candidateSuits;
				this.finish = candidateFinish;
				this.view = candidate;
			}
		}

		/**
		 * Returns whether there is no need to look further.
		 * @return whether a probe was found, or one with room that suits
		 */
		boolean isSettled() {
			return this.probes || (this.suits && this.view != null && this.view.hasRoom(this.now));
		}

		/**
		 * Looks through the whole pool for any that is allowed, after samples found none.
		 * @param start index to begin at
		 */
		void considerAnyFrom(int start) {
			ServerView[] all = PoolRouter.this.servers;
			for (int i = 0; i < all.length && this.view == null; i++) {
				consider(all[(start + i) % all.length]);
			}
		}

	}

}
