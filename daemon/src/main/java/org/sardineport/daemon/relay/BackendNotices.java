package org.sardineport.daemon.relay;

import java.time.Duration;
import java.time.InstantSource;
import java.util.Objects;

import org.sardineport.core.backend.BackendProcess;
import org.sardineport.core.backend.BackendServer;
import org.sardineport.core.fleet.LeavingReports;
import org.sardineport.core.relay.BackendPauses;
import org.sardineport.core.relay.ResponseHead;
import org.sardineport.daemon.telemetry.EventLog;
import org.sardineport.daemon.telemetry.Telemetry;

/**
 * Acts on what backend servers say in the heads of their responses about new requests:
 * that they are leaving, and that they want a pause. Confined to the event loop.
 */
final class BackendNotices {

	private static final EventLog LOG = EventLog.of(BackendNotices.class);

	private final LeavingReports leaving;

	private final BackendPauses pauses;

	private final PauseQueue pauseQueue = new PauseQueue();

	private final Telemetry telemetry;

	private BackendNotices(LeavingReports leaving, BackendPauses pauses, Telemetry telemetry) {
		this.leaving = Objects.requireNonNull(leaving, "leaving must not be null");
		this.pauses = pauses;
		this.telemetry = Objects.requireNonNull(telemetry, "telemetry must not be null");
	}

	/**
	 * Returns notices of which none was received.
	 * @param leaving is told which processes are leaving
	 * @param clock a monotonic clock
	 * @param telemetry counts pauses
	 * @return the notices
	 */
	static BackendNotices create(LeavingReports leaving, InstantSource clock, Telemetry telemetry) {
		return new BackendNotices(leaving, BackendPauses.create(clock), telemetry);
	}

	/**
	 * Handles a response, to whichever request it belongs.
	 * @param server the backend server to which the connection leads
	 * @param head the head of the response
	 */
	void received(BackendServer server, ResponseHead head) {
		if (!head.isFromServerAsked()) {
			return;
		}
		if (head.leaving()) {
			this.leaving.statedLeaving(server.process());
		}
		Duration pause = head.pause();
		if (pause != null) {
			pauseAsked(server.process(), pause);
		}
	}

	private void pauseAsked(BackendProcess process, Duration pause) {
		if (this.pauses.record(process, pause)) {
			this.telemetry.counter("backends.pauses-asked").inc();
			LOG.info("backend.pause-asked", "backend-server", process.server(), "started-at", process.startedAt(),
					"pause-ms", pause.toMillis());
		}
	}

	/**
	 * Returns the pauses that backend servers have asked for.
	 * @return a view that reflects the current state
	 */
	BackendPauses pauses() {
		return this.pauses;
	}

	/**
	 * Returns the requests that wait for the end of pauses.
	 * @return the requests of this daemon
	 */
	PauseQueue pauseQueue() {
		return this.pauseQueue;
	}

}
