package org.sardineport.daemon.relay;

import java.time.Duration;

import org.sardineport.core.identity.PoolName;

/**
 * Wait of one request for the end of a pause of all backend servers of its pool. Confined
 * to the event loop.
 */
final class PauseWait {

	private static final long NO_TIMER = -1;

	private final RelayServices services;

	private final PoolName pool;

	private long timer = NO_TIMER;

	PauseWait(RelayServices services, PoolName pool) {
		this.services = services;
		this.pool = pool;
	}

	/**
	 * Begins to wait, unless enough requests of the pool wait.
	 * @param pause the pause, of the whole pool
	 * @param afterwards is run at its end
	 * @return whether the request waits
	 */
	boolean begin(PoolPause pause, Runnable afterwards) {
		int share = pause.share(this.services.fleet().current().members());
		if (!this.services.notices().pauseQueue().enter(this.pool, share)) {
			return false;
		}
		Duration wait = pause.untilFirst();
		this.timer = this.services.vertx().setTimer(Math.max(1, wait.toMillis()), (id) -> {
			end();
			afterwards.run();
		});
		return true;
	}

	/**
	 * Ends the wait. Has no effect if there is none.
	 */
	void end() {
		if (this.timer != NO_TIMER) {
			this.services.vertx().cancelTimer(this.timer);
			this.timer = NO_TIMER;
			this.services.notices().pauseQueue().leave(this.pool);
		}
	}

}
