package org.sardineport.daemon.relay;

import java.time.Duration;
import java.time.InstantSource;

import io.vertx.core.Vertx;
import org.jspecify.annotations.Nullable;

/**
 * Watches for how long a backend server sends nothing to an attempt. Has the path checked
 * after a short time, and reports the backend server as silent after the timeout of the
 * plan. Confined to the event loop.
 */
final class SilenceWatch {

	/** Time without data after which the path to the backend server is checked. */
	private static final Duration PATH_CHECK_AFTER = Duration.ofMillis(300);

	/** Pause after which a backend server may close a response that is not read. */
	private static final Duration UNREAD_AFTER = Duration.ofSeconds(2);

	/**
	 * Time after such a pause within which what had come before is read, up to a close.
	 */
	private static final Duration UNREAD_MEMORY = Duration.ofSeconds(10);

	private final Vertx vertx;

	private final InstantSource clock;

	private final AttemptPlan plan;

	private final Runnable pathCheck;

	private final Runnable silenceHandler;

	private boolean paused;

	private long pausedAtMillis;

	/** End of the last long pause. */
	private long unreadUntilMillis = Long.MIN_VALUE / 2;

	private boolean silent;

	private long dataTimer = -1;

	private long pathTimer = -1;

	private long lastDataAtMillis;

	SilenceWatch(RelayServices services, AttemptPlan plan, Runnable pathCheck, Runnable silenceHandler) {
		this.vertx = services.vertx();
		this.clock = services.clock();
		this.plan = plan;
		this.pathCheck = pathCheck;
		this.silenceHandler = silenceHandler;
	}

	void start() {
		this.lastDataAtMillis = this.clock.millis();
		restartDataTimer(this.plan.firstDataTimeout());
		this.pathTimer = this.vertx.setPeriodic(PATH_CHECK_AFTER.toMillis(), (id) -> checkPath());
	}

	/**
	 * Stops the timers, as the response has ended.
	 */
	void stop() {
		this.vertx.cancelTimer(this.dataTimer);
		this.vertx.cancelTimer(this.pathTimer);
	}

	/**
	 * Suspends the watch, as the attempt reads nothing.
	 */
	void pause() {
		if (!this.paused) {
			this.pausedAtMillis = this.clock.millis();
		}
		this.paused = true;
		this.vertx.cancelTimer(this.dataTimer);
	}

	/**
	 * Begins anew, as the attempt reads on.
	 */
	void resume() {
		if (isPausedLong()) {
			this.unreadUntilMillis = this.clock.millis();
		}
		this.paused = false;
		this.lastDataAtMillis = this.clock.millis();
		restartDataTimer(this.plan.gapTimeout());
	}

	void dataReceived() {
		this.lastDataAtMillis = this.clock.millis();
		this.silent = false;
		restartDataTimer(this.plan.gapTimeout());
	}

	/**
	 * Returns whether nothing was read for a long time until now or a moment ago.
	 * @return whether the backend server may have given the response up for that
	 */
	boolean isUnread() {
		return isPausedLong() || this.clock.millis() - this.unreadUntilMillis < UNREAD_MEMORY.toMillis();
	}

	private boolean isPausedLong() {
		return this.paused && this.clock.millis() - this.pausedAtMillis >= UNREAD_AFTER.toMillis();
	}

	boolean isPaused() {
		return this.paused;
	}

	/**
	 * Returns whether the backend server has sent nothing for the timeout of the plan.
	 * @return whether it was reported as silent and has sent no data since
	 */
	boolean isSilent() {
		return this.silent;
	}

	/**
	 * Returns the time since data was last received, or since the start before any.
	 * @return the time; zero while the attempt is paused
	 */
	Duration silence() {
		return this.paused ? Duration.ZERO : Duration.ofMillis(this.clock.millis() - this.lastDataAtMillis);
	}

	private void restartDataTimer(@Nullable Duration timeout) {
		this.vertx.cancelTimer(this.dataTimer);
		if (timeout != null) {
			this.dataTimer = this.vertx.setTimer(Math.max(1, timeout.toMillis()), (id) -> dataTimedOut());
		}
	}

	private void dataTimedOut() {
		restartDataTimer(this.plan.gapTimeout());
		this.silent = true;
		this.silenceHandler.run();
	}

	private void checkPath() {
		if (silence().compareTo(PATH_CHECK_AFTER) >= 0) {
			this.pathCheck.run();
		}
	}

}
