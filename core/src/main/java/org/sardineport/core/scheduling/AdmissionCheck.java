package org.sardineport.core.scheduling;

import org.sardineport.core.request.Tier;

/**
 * Checks whether a backend server can take a request: whether it has room for its tier,
 * how long it would wait, and whether it would finish by its deadline. Reads the
 * occupancy, the queue and the model of the backend server without changing them. All
 * times are milliseconds of the same clock. Not thread-safe.
 */
final class AdmissionCheck {

	/**
	 * Remaining slack, in milliseconds, at which a waiting top-tier request is granted
	 * regardless of the limit.
	 */
	private static final long TOP_TIER_SLACK_MILLIS = 100;

	/**
	 * Time, in milliseconds, for which a new owner without a load report grants lower
	 * tiers only half the limit.
	 */
	private static final long WARM_UP_MILLIS = 1000;

	private final ServerOccupancy occupancy;

	private final OwnerQueue queue;

	private final ServerModel model;

	private final long warmUpEndsAt;

	private boolean reportSeen;

	/**
	 * Creates a check for a new owner of a backend server.
	 * @param occupancy its outstanding permits
	 * @param queue its waiting requests
	 * @param model its performance model
	 * @param knownIdle whether no entry can have unreported runs there, so that no
	 * warm-up is needed
	 * @param now the current time
	 */
	AdmissionCheck(ServerOccupancy occupancy, OwnerQueue queue, ServerModel model, boolean knownIdle, long now) {
		this.occupancy = occupancy;
		this.queue = queue;
		this.model = model;
		this.warmUpEndsAt = (knownIdle) ? now : now + WARM_UP_MILLIS;
	}

	/**
	 * Ends the warm-up, because a load report tells how many requests are running.
	 */
	void onLoadReport() {
		this.reportSeen = true;
	}

	/**
	 * Returns whether another request may run within the concurrency limit and those that
	 * the backend server states. The top tier may use the hard limit, and lower tiers
	 * half of theirs during the warm-up.
	 * @param tier tier of the request
	 * @param now the current time
	 * @return whether there is room
	 */
	boolean hasRoom(Tier tier, long now) {
		if (!mayStart(now)) {
			return false;
		}
		if (tier.isTop()) {
			return this.occupancy.size() < this.model.hardLimit();
		}
		int limit = this.model.lowerTierLimit(now);
		int places = isWarmedUp(now) ? limit : (limit + 1) / 2;
		int permits = this.occupancy.size();
		return permits < places || (this.model.occupiedPlaces(permits) < places && this.model.mayExceedPermits(now));
	}

	/**
	 * Returns whether a request may start within the limits that the backend server
	 * states.
	 * @param now the current time
	 * @return whether it may start now
	 */
	boolean mayStart(long now) {
		return this.model.mayStart(this.occupancy.size(), now);
	}

	/**
	 * Returns when the last of several requests may start within the limits that the
	 * backend server states.
	 * @param requests number of requests, at least 1
	 * @param now the current time
	 * @return milliseconds from now
	 */
	long millisUntilStart(int requests, long now) {
		return this.model.millisUntilStart(requests, this.occupancy.size(), now);
	}

	private boolean isWarmedUp(long now) {
		return this.reportSeen || now >= this.warmUpEndsAt;
	}

	/**
	 * Returns whether a request would start while its caller waits, and would finish by
	 * its deadline.
	 * @param waiting the request
	 * @param waitMillis time until it would start; 0 if it would start now, behind the
	 * backlog of prompts
	 * @param now the current time
	 * @return whether it would finish in time
	 */
	boolean canFinish(WaitingRequest waiting, long waitMillis, long now) {
		if (waiting.deadline() <= now + waitMillis || waiting.startBy() < now + waitMillis) {
			return false;
		}
		int concurrent = (waiting.permitRequest().tier().isTop()) ? this.occupancy.topTierSize()
				: this.occupancy.size();
		RunForecast forecast = this.model.forecast(waiting.permitRequest(), concurrent + 1, now);
		double backlog = (waitMillis > 0) ? 0 : forecast.backlogMillis();
		double total = backlog + forecast.prefillMillis() + forecast.decodeMillis();
		return now + waitMillis + total <= waiting.deadline();
	}

	/**
	 * Returns the expected wait of a new request behind the on-time requests of the same
	 * and more urgent tiers.
	 * @param tier tier of the request
	 * @param now the current time
	 * @return the wait in milliseconds
	 */
	long expectedWait(Tier tier, long now) {
		int ahead = this.queue.countAhead(tier) + 1;
		return Math.max(concurrencyWait(ahead, now), millisUntilStart(ahead, now));
	}

	private long concurrencyWait(int ahead, long now) {
		return (long) (ahead * this.model.serviceMillis(now) / this.model.limit());
	}

	/**
	 * Returns the additional wait of a request that will be late. It is queued behind all
	 * requests that are late already.
	 * @param waiting the request
	 * @param queueWait its expected wait in milliseconds
	 * @param now the current time
	 * @return the additional wait in milliseconds; 0 if the request will be on time
	 */
	long extraWaitIfLate(WaitingRequest waiting, long queueWait, long now) {
		if (now + queueWait <= waiting.targetStartBy()) {
			return 0;
		}
		int late = this.queue.size() - this.queue.onTimeSize();
		return Math.max(concurrencyWait(late, now), (long) (late * this.model.millisPerRequest()));
	}

	/**
	 * Returns whether a top-tier request must be granted now regardless of the limit.
	 * Otherwise it would be refused while a lower tier runs.
	 * @param waiting the request
	 * @param now the current time
	 * @return whether its slack is used up while lower-tier work is running
	 */
	boolean isSlackUsedUp(WaitingRequest waiting, long now) {
		return waiting.permitRequest().tier().isTop() && this.occupancy.isLowerTierRunning()
				&& !canFinish(waiting, TOP_TIER_SLACK_MILLIS, now);
	}

}
