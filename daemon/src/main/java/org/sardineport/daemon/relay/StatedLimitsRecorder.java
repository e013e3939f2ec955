package org.sardineport.daemon.relay;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;

import org.sardineport.core.admission.Permit;
import org.sardineport.core.admission.RequestScheduler;
import org.sardineport.core.backend.BackendProcess;
import org.sardineport.core.limit.StatedLimits;
import org.sardineport.daemon.telemetry.EventLog;
import org.sardineport.daemon.telemetry.Telemetry;

/**
 * Passes the limits that backend servers state in their responses to this daemon on to
 * the scheduler, and logs each change. Confined to the event loop.
 */
final class StatedLimitsRecorder {

	/** Maximum number of processes whose limits are remembered. */
	private static final int MAX_PROCESSES = 10_000;

	private static final EventLog LOG = EventLog.of(StatedLimitsRecorder.class);

	private final RequestScheduler scheduler;

	private final Telemetry telemetry;

	/** The limits in force; processes without a limit are absent. */
	private final Map<BackendProcess, StatedLimits> limits = new LinkedHashMap<>() {

		@Override
		protected boolean removeEldestEntry(Map.Entry<BackendProcess, StatedLimits> eldest) {
			return size() > MAX_PROCESSES;
		}

	};

	private StatedLimitsRecorder(RequestScheduler scheduler, Telemetry telemetry) {
		this.scheduler = Objects.requireNonNull(scheduler, "scheduler must not be null");
		this.telemetry = Objects.requireNonNull(telemetry, "telemetry must not be null");
	}

	/**
	 * Returns a recorder that knows no limits.
	 * @param scheduler applies the limits
	 * @param telemetry counts responses that state a limit
	 * @return the recorder
	 */
	static StatedLimitsRecorder create(RequestScheduler scheduler, Telemetry telemetry) {
		return new StatedLimitsRecorder(scheduler, telemetry);
	}

	/**
	 * Passes on what a response states, unless there is no limit and none is known.
	 * @param permit the permit under which the request was sent
	 * @param stated the limits, or {@link StatedLimits#NONE} if the response states none
	 * @param requestId the request to which it responded
	 */
	void record(Permit permit, StatedLimits stated, String requestId) {
		BackendProcess process = permit.backendServer().process();
		if (stated.isLimited() || permit.rateLimited() || this.limits.containsKey(process)) {
			this.scheduler.recordStatedLimits(process, stated);
			logChange(process, stated, requestId);
		}
	}

	private void logChange(BackendProcess process, StatedLimits stated, String requestId) {
		StatedLimits former = this.limits.getOrDefault(process, StatedLimits.NONE);
		if (stated.isLimited()) {
			this.telemetry.counter("backends.limits-stated").inc();
		}
		if (stated.equals(former)) {
			return;
		}
		LOG.info("backend.limits-stated", "backend-server", process.server(), "started-at", process.startedAt(),
				"requests-per-second", stated.rate(), "rejections-per-second", stated.rejectionsLabel(),
				"former-requests-per-second", former.rate(), "former-rejections-per-second", former.rejectionsLabel(),
				"request", requestId);
		if (stated.isLimited()) {
			this.limits.put(process, stated);
		}
		else {
			this.limits.remove(process);
		}
	}

}
