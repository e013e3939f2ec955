package org.sardineport.core.scheduling;

import java.time.InstantSource;
import java.util.HashMap;
import java.util.Map;
import java.util.random.RandomGenerator;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.backend.SoftwareVersion;
import org.sardineport.core.identity.DaemonId;
import org.sardineport.core.routing.PoolRouter;
import org.sardineport.core.routing.ReplyTime;
import org.sardineport.core.routing.RoutingRequest;
import org.sardineport.core.routing.ServerView;

/**
 * Chooses the backend server for which an entry requests a permit. Skips backend servers
 * already tried, and those of unresponsive owners unless no others remain. Not
 * thread-safe.
 */
final class EntryRouting {

	/**
	 * Time for which the backend servers of an unresponsive owner are avoided, in
	 * milliseconds.
	 */
	private static final long UNRESPONSIVE_MILLIS = 3000;

	/** Minimum time at an owner before a queued request may move, in milliseconds. */
	private static final long MIN_STAY_MILLIS = 200;

	/** Minimum expected gain for which a queued request moves, in milliseconds. */
	private static final long MIN_GAIN_MILLIS = 100;

	/** Number of expected reply times for which a caller waits at least. */
	private static final int PATIENCE = 3;

	private final PoolDirectory directory;

	private final InstantSource clock;

	private final RandomGenerator random;

	private final Map<DaemonId, Long> unresponsiveUntil = new HashMap<>();

	EntryRouting(PoolDirectory directory, InstantSource clock, RandomGenerator random) {
		this.random = random;
		this.directory = directory;
		this.clock = clock;
	}

	/**
	 * Returns the best backend server for a request, preferably one of a responsive
	 * owner.
	 * @param pending the request
	 * @return the backend server, or {@code null} if none remains to be tried
	 */
	@Nullable ServerView best(PendingRequest pending) {
		PoolRouter router = this.directory.router(pending.request().pool());
		if (router == null) {
			return null;
		}
		long now = this.clock.millis();
		RoutingRequest request = pending.routingRequest(now);
		ServerView best = router.choose(request,
				(view) -> !pending.hasTried(view) && !isUnresponsive(view.owner(), now), now);
		return (best != null) ? best : router.choose(request, (view) -> !pending.hasTried(view), now);
	}

	/**
	 * Decides whether to request a permit. Unless the caller waits for several times as
	 * long as the owner's reply is likely to take, nothing is requested of a silent
	 * owner, and only a share of one that answers too few requests in time.
	 * @param pending the request
	 * @param view the backend server
	 * @return whether a permit is to be requested for it
	 */
	boolean mayRequest(PendingRequest pending, ServerView view) {
		long now = this.clock.millis();
		ReplyTime replies = view.replyTime();
		double share = view.requestShare(now);
		double replyMillis = Math.max(replies.expectedMillis(now),
				Math.max(replies.silentMillis(now), ReadDelay.millisAtShare(share)));
		if (pending.startWithinMillis(now) >= PATIENCE * replyMillis) {
			return true;
		}
		boolean requests = !replies.isAwaited(now)
				&& this.random.nextDouble() < Math.min(share, replies.requestShare(now));
		if (!requests) {
			replies.withheld(now);
		}
		return requests;
	}

	/**
	 * Returns whether a request is expected to meet its deadline on a backend server
	 * without a preemption, even if the backend server becomes full meanwhile.
	 * @param pending the request
	 * @param view the backend server
	 * @return whether the backend server is suitable
	 */
	boolean suits(PendingRequest pending, ServerView view) {
		PoolRouter router = this.directory.router(pending.request().pool());
		long now = this.clock.millis();
		return router != null && router.suits(view, pending.routingRequest(now), now);
	}

	/**
	 * Returns a backend server with room that would finish a queued request sooner than
	 * its present one by more than the minimum gain.
	 * @param pending the request
	 * @return the backend server, or {@code null} if the request should stay
	 */
	@Nullable ServerView better(PendingRequest pending) {
		long now = this.clock.millis();
		ServerView current = pending.server();
		PoolRouter router = this.directory.router(pending.request().pool());
		if (current == null || router == null || !pending.isAssignedBefore(now - MIN_STAY_MILLIS)) {
			return null;
		}
		RoutingRequest request = pending.routingRequest(now);
		ServerView other = router.choose(request, (view) -> view != current && pending.admits(view) && view.hasRoom(now)
				&& !view.state().isolated() && !isUnresponsive(view.owner(), now), now);
		if (other == null) {
			return null;
		}
		double otherCost = router.costMillis(other, request, now);
		double currentCost = router.costMillis(current, pending.routingRequest(now, true), now)
				+ pending.remainingWaitMillis(now);
		return (otherCost + MIN_GAIN_MILLIS < currentCost) ? other : null;
	}

	/**
	 * Describes why no permit can be had for a request.
	 * @param pending the request
	 * @return one sentence for the caller
	 */
	String describeLack(PendingRequest pending) {
		PoolRouter router = this.directory.router(pending.request().pool());
		if (router == null) {
			return "no backend server of the pool is listed as live";
		}
		SoftwareVersion required = pending.request().requiredVersion();
		if (required == null || router.hasVersion(required)) {
			return describe(pending.denial());
		}
		return "no backend server of the pool runs software version " + required;
	}

	private static String describe(PermitDenial denial) {
		return (denial == PermitDenial.ISOLATED) ? "the backend servers of the pool that were asked failed lately"
				: "no backend server of the pool has room in time";
	}

	/**
	 * Marks an owner as unresponsive, so that its backend servers are avoided for
	 * {@value #UNRESPONSIVE_MILLIS} ms.
	 * @param owner the owner
	 */
	void markUnresponsive(DaemonId owner) {
		this.unresponsiveUntil.put(owner, this.clock.millis() + UNRESPONSIVE_MILLIS);
	}

	boolean isAnyOwnerUnresponsive() {
		return !this.unresponsiveUntil.isEmpty();
	}

	private boolean isUnresponsive(@Nullable DaemonId owner, long now) {
		if (this.unresponsiveUntil.isEmpty() || owner == null) {
			return owner == null;
		}
		Long until = this.unresponsiveUntil.get(owner);
		return until != null && until > now;
	}

	void tick() {
		long now = this.clock.millis();
		this.unresponsiveUntil.values().removeIf((until) -> until <= now);
	}

}
