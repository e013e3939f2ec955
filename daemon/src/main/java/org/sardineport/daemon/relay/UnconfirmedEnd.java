package org.sardineport.daemon.relay;

import java.time.Duration;

import io.vertx.core.Vertx;

/**
 * The end of a stream that a backend server has not stated, while another one is asked to
 * go on. The stream counts as complete if none can. Confined to the event loop.
 */
final class UnconfirmedEnd {

	/** Maximum time for which another backend server is waited for. */
	private static final Duration TIMEOUT = Duration.ofMillis(1500);

	private final Vertx vertx;

	private final Runnable timeoutHandler;

	private long timer = -1;

	private boolean pending;

	UnconfirmedEnd(Vertx vertx, Runnable timeoutHandler) {
		this.vertx = vertx;
		this.timeoutHandler = timeoutHandler;
	}

	/**
	 * Records that the stream has ended so. The timeout counts from the first time.
	 */
	void begin() {
		if (!this.pending) {
			this.pending = true;
			this.timer = this.vertx.setTimer(TIMEOUT.toMillis(), (id) -> {
				if (this.pending) {
					this.timeoutHandler.run();
				}
			});
		}
	}

	/**
	 * Records that the stream goes on or is over.
	 */
	void clear() {
		this.pending = false;
		this.vertx.cancelTimer(this.timer);
	}

	/**
	 * Returns whether the stream counts as complete if nobody goes on.
	 * @return whether it has ended so and not gone on since
	 */
	boolean isPending() {
		return this.pending;
	}

}
