package org.sardineport.core.scheduling;

import java.time.InstantSource;
import java.util.HashMap;
import java.util.Map;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.identity.DaemonId;
import org.sardineport.core.routing.PoolRouter;
import org.sardineport.core.routing.RoutingRequest;
import org.sardineport.core.routing.ServerView;

/**
 * Where an entry asks for a permit: passes over backend servers that were tried and those
 * of silent owners. Not safe for use by several threads.
 */
final class EntryRouting {

	/** Time for which the backend servers of a silent owner are not chosen. */
	private static final long SILENT_MILLIS = 3000;

	/** Time at an owner before a queued request may move. */
	private static final long SETTLE_MILLIS = 200;

	/** Gain for which a queued request moves, in milliseconds. */
	private static final long LEAST_GAIN_MILLIS = 100;

	private final PoolDirectory directory;

	private final InstantSource clock;

	private final Map<DaemonId, Long> silentUntil = new HashMap<>();

	EntryRouting(PoolDirectory directory, InstantSource clock) {
		this.directory = directory;
		this.clock = clock;
	}

	/**
	 * Returns the backend server to ask for a request.
	 * @param waiting the request
	 * @return the backend server, or {@code null} if none is left to try
	 */
	@Nullable ServerView best(PendingRequest waiting) {
		PoolRouter router = this.directory.router(waiting.request().pool());
		if (router == null) {
			return null;
		}
		long now = this.clock.millis();
		RoutingRequest request = waiting.routing(now);
		ServerView best = router.choose(request, (view) -> !waiting.hasTried(view) && !isSilent(view.owner(), now),
				now);
		return (best != null) ? best : router.choose(request, (view) -> !waiting.hasTried(view), now);
	}

	/**
	 * Returns whether a request is expected to finish in time on a backend server without
	 * harm to others.
	 * @param waiting the request
	 * @param view the backend server
	 * @return whether it suits
	 */
	boolean suits(PendingRequest waiting, ServerView view) {
		PoolRouter router = this.directory.router(waiting.request().pool());
		long now = this.clock.millis();
		return router != null && router.suits(view, waiting.routing(now), now);
	}

	/**
	 * Returns a backend server with room that would finish a queued request much sooner
	 * than where it waits.
	 * @param waiting the request
	 * @return the backend server, or {@code null} if it should stay
	 */
	@Nullable ServerView better(PendingRequest waiting) {
		long now = this.clock.millis();
		ServerView current = waiting.server();
		PoolRouter router = this.directory.router(waiting.request().pool());
		if (current == null || router == null || !waiting.isPlacedBefore(now - SETTLE_MILLIS)) {
			return null;
		}
		RoutingRequest request = waiting.routing(now);
		ServerView other = router.choose(request, (view) -> view != current && view.hasRoom(now)
				&& !view.state().isolated() && !isSilent(view.owner(), now), now);
		if (other == null) {
			return null;
		}
		double there = router.costMillis(other, request, now);
		double here = router.costMillis(current, waiting.routing(now, true), now) + waiting.remainingWaitMillis(now);
		return (there + LEAST_GAIN_MILLIS < here) ? other : null;
	}

	/**
	 * Passes over the backend servers of an owner that does not answer, for a while.
	 * @param owner the owner
	 */
	void silent(DaemonId owner) {
		this.silentUntil.put(owner, this.clock.millis() + SILENT_MILLIS);
	}

	boolean isAnyOwnerSilent() {
		return !this.silentUntil.isEmpty();
	}

	private boolean isSilent(@Nullable DaemonId owner, long now) {
		if (this.silentUntil.isEmpty() || owner == null) {
			return owner == null;
		}
		Long until = this.silentUntil.get(owner);
		return until != null && until > now;
	}

	void tick() {
		long now = this.clock.millis();
		this.silentUntil.values().removeIf((until) -> until <= now);
	}

}
