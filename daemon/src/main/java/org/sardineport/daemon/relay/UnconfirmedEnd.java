package org.sardineport.daemon.relay;

import java.time.Duration;

import io.vertx.core.Vertx;
import org.jspecify.annotations.Nullable;
import org.sardineport.core.backend.BackendProcess;
import org.sardineport.core.relay.ConfirmedEnds;

/**
 * The end of a stream that a backend server has not stated, while another one is asked to
 * go on. The stream counts as complete if none can. Confined to the event loop.
 */
final class UnconfirmedEnd {

	/** Maximum time for which another backend server is waited for. */
	private static final Duration TIMEOUT = Duration.ofMillis(1500);

	private final Vertx vertx;

	private final ConfirmedEnds confirmedEnds;

	private final Runnable timeoutHandler;

	private long timer = -1;

	private @Nullable BackendProcess endedBy;

	UnconfirmedEnd(RelayServices services, Runnable timeoutHandler) {
		this.vertx = services.vertx();
		this.confirmedEnds = services.confirmedEnds();
		this.timeoutHandler = timeoutHandler;
	}

	/**
	 * Records that a process has ended the stream so. The timeout counts from the first
	 * one.
	 * @param process the process
	 * @return whether to ask another backend server to go on
	 */
	boolean begin(BackendProcess process) {
		if (!isPending()) {
			this.timer = this.vertx.setTimer(TIMEOUT.toMillis(), (id) -> timedOut());
		}
		this.endedBy = process;
		return this.confirmedEnds.needsConfirmation(process);
	}

	private void timedOut() {
		if (isPending()) {
			this.timeoutHandler.run();
		}
	}

	/**
	 * Records that another backend server has stated the end. Has no effect if none was
	 * asked.
	 */
	void confirmed() {
		if (this.endedBy != null) {
			this.confirmedEnds.confirmed(this.endedBy);
			clear();
		}
	}

	/**
	 * Records that the stream goes on. Has no effect if it has not ended.
	 */
	void refuted() {
		if (this.endedBy != null) {
			this.confirmedEnds.refuted(this.endedBy);
			clear();
		}
	}

	/**
	 * Forgets the end, as the response is over.
	 */
	void clear() {
		this.endedBy = null;
		this.vertx.cancelTimer(this.timer);
	}

	/**
	 * Returns whether the stream counts as complete if nobody goes on.
	 * @return whether it has ended so and not gone on since
	 */
	boolean isPending() {
		return this.endedBy != null;
	}

}
