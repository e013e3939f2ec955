package org.sardineport.daemon.rollout;

import java.time.Duration;
import java.time.Instant;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.rollout.RolloutCoordinator;

/**
 * A rollout that this daemon coordinates, and what is due for it. Confined to the event
 * loop.
 */
final class RolloutLead {

	/** Number of announcements of a step in quick succession, as some may be lost. */
	private static final int REPEATS = 3;

	private static final Duration REPEAT_INTERVAL = Duration.ofMillis(100);

	/** Time for which the end is announced. */
	private static final Duration END_TIME = Duration.ofSeconds(4);

	/** Attempts to store the end after which another daemon should take over. */
	private static final int MAX_ATTEMPTS = 5;

	private static final Duration RETRY_INTERVAL = Duration.ofMillis(500);

	private final RolloutCoordinator coordinator;

	private int repeats = REPEATS;

	private Instant announcedAt = Instant.MIN;

	private @Nullable Instant endedAt;

	private boolean storing;

	private boolean completing;

	private int failedAttempts;

	private Instant triedAt = Instant.MIN;

	RolloutLead(RolloutCoordinator coordinator) {
		this.coordinator = coordinator;
	}

	RolloutCoordinator coordinator() {
		return this.coordinator;
	}

	void stepTaken() {
		this.repeats = REPEATS;
		this.announcedAt = Instant.MIN;
	}

	boolean isAnnouncementDue(Duration interval, Instant now) {
		if (this.announcedAt == Instant.MIN) {
			return true;
		}
		Duration needed = (this.repeats > 0) ? REPEAT_INTERVAL : interval;
		return Duration.between(this.announcedAt, now).compareTo(needed) >= 0;
	}

	void announced(Instant now) {
		this.announcedAt = now;
		this.repeats = Math.max(0, this.repeats - 1);
	}

	boolean mayStore(Instant now) {
		return !this.storing
				&& (this.triedAt == Instant.MIN || Duration.between(this.triedAt, now).compareTo(RETRY_INTERVAL) >= 0);
	}

	/**
	 * Returns whether the completion may have been stored, so that no other step may be
	 * taken.
	 * @return {@code true} once it was tried
	 */
	boolean isCompleting() {
		return this.completing;
	}

	void completing() {
		this.completing = true;
	}

	void storing(Instant now) {
		this.storing = true;
		this.triedAt = now;
	}

	void storingFailed() {
		this.storing = false;
		this.failedAttempts++;
	}

	boolean isStoreLost() {
		return this.failedAttempts >= MAX_ATTEMPTS;
	}

	void stored(Instant now) {
		this.storing = false;
		this.endedAt = now;
	}

	boolean isStored() {
		return this.endedAt != null;
	}

	boolean isOver(Instant now) {
		return this.endedAt != null && Duration.between(this.endedAt, now).compareTo(END_TIME) >= 0;
	}

}
