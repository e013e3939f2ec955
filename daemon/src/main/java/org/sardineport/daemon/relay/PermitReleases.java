package org.sardineport.daemon.relay;

import org.sardineport.core.admission.RunEnd;
import org.sardineport.core.admission.RunMeasurement;
import org.sardineport.core.relay.AttemptEnd;

/**
 * Releases the permits of the attempts at one request. What this daemon alone sees of its
 * path to a backend server is not reported as a failure of the backend server. Confined
 * to the event loop.
 */
final class PermitReleases {

	private final RelayServices services;

	private final CrashReport crashReport;

	private final String route;

	PermitReleases(RelayServices services, CrashReport crashReport, String route) {
		this.services = services;
		this.route = route;
		this.crashReport = crashReport;
	}

	/**
	 * Records the first event of an attempt, which tells how fast its version is.
	 * @param begun the attempt
	 */
	void firstEventReceived(PermittedAttempt begun) {
		this.services.rollouts().firstData(begun.permit().backendServer(), this.route, begun.attempt().age());
	}

	/**
	 * Releases the permit of an attempt.
	 * @param ended the attempt
	 * @param end how its run ended
	 */
	void release(PermittedAttempt ended, RunEnd end) {
		RunEnd reported = (end == RunEnd.TIMED_OUT && isPathLost(ended)) ? RunEnd.CANCELLED : end;
		release(ended, ended.attempt().measurement(reported));
	}

	/**
	 * Releases the permit of a failed attempt. A broken connection may be the loss of the
	 * path, which is known only after a check.
	 * @param ended the attempt
	 * @param end how it ended
	 * @return whether the process may have crashed
	 */
	boolean releaseFailed(PermittedAttempt ended, AttemptEnd end) {
		if (end != AttemptEnd.BROKEN) {
			release(ended, end.runEnd());
			return false;
		}
		boolean noneOpen = this.crashReport.connectionBroke(ended);
		RunMeasurement measurement = ended.attempt().measurement(noneOpen ? RunEnd.BROKEN : RunEnd.REJECTED);
		this.services.connections()
			.verifyPath(ended.permit().backendServer())
			.onComplete((ignored) -> release(ended,
					isPathLost(ended) ? measurement.endedBy(RunEnd.CANCELLED) : measurement));
		return noneOpen;
	}

	private void release(PermittedAttempt ended, RunMeasurement measurement) {
		this.services.scheduler().release(ended.permit(), measurement);
		this.services.rollouts().ended(ended.permit().backendServer(), this.route, measurement);
	}

	private boolean isPathLost(PermittedAttempt ended) {
		boolean connected = ended.attempt().connection() != null;
		return connected && (ended.attempt().isCarried() || this.services.connections().isPathLost(ended.server()));
	}

}
