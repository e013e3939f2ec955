package org.sardineport.daemon.relay;

import java.util.List;

import org.sardineport.core.backend.BackendServer;
import org.sardineport.core.quarantine.RequestSuspects;
import org.sardineport.core.quarantine.Suspect;

/**
 * Reports what the attempts at one request show about crashes of backend servers: that
 * one may have crashed under the request, or that the request or the parts of its prompt
 * are sound. Confined to the event loop.
 */
final class CrashReport {

	private final RelayServices services;

	private final AttemptPlanner planner;

	CrashReport(RelayServices services, AttemptPlanner planner) {
		this.services = services;
		this.planner = planner;
	}

	/**
	 * Handles an attempt whose connection broke.
	 * @param broken the attempt
	 * @return whether no other connection to the process is open now
	 */
	boolean connectionBroke(PermittedAttempt broken) {
		return this.services.crashes().connectionBroke(server(broken), suspects(broken), broken.attempt().connection());
	}

	// A part that crashes backend servers does so before the first event.
	private List<Suspect> suspects(PermittedAttempt broken) {
		RequestSuspects suspects = this.planner.suspects();
		return (broken.attempt().eventCount() == 0) ? suspects.all() : List.of(suspects.request());
	}

	/**
	 * Records that a backend server writes an answer, so that no part of the prompt
	 * crashes it.
	 */
	void firstEventReceived() {
		this.services.scheduler().recordSound(this.planner.suspects().promptParts());
	}

	/**
	 * Handles an attempt whose response is complete. A response that ends with its
	 * connection does not prove the request sound, as its server may close all
	 * connections late. An error response may have been sent before the request was run.
	 * @param completed the attempt
	 */
	void completed(PermittedAttempt completed) {
		if (completed.attempt().isSuccess() && !completed.attempt().isEndedByClose()) {
			this.services.scheduler().recordSound(this.planner.suspects().all());
		}
	}

	private static BackendServer server(PermittedAttempt attempt) {
		return attempt.permit().backendServer();
	}

}
