package org.sardineport.core.admission;

import org.sardineport.core.identity.RequestId;
import org.sardineport.core.quarantine.StrikeKey;
import org.sardineport.core.request.Fingerprint;

/**
 * Schedules requests on backend servers. All methods return immediately and are
 * thread-safe. Decisions are reported to the {@link PermitListener}.
 */
public interface RequestScheduler {

	/**
	 * Queues a request for a permit. The listener receives exactly one permit or refusal,
	 * unless the request is abandoned first.
	 * @param request the request
	 * @param listener receives the decision
	 */
	void submit(SchedulingRequest request, PermitListener listener);

	/**
	 * Removes a waiting request whose caller has disconnected. Has no effect on a request
	 * that already has a permit.
	 * @param request the request
	 */
	void abandon(RequestId request);

	/**
	 * Releases a permit. Must be called exactly once per granted permit.
	 * @param permit the permit
	 * @param measurement measurement of the run
	 */
	void release(Permit permit, RunMeasurement measurement);

	/**
	 * Records that a process of a backend server crashed while it ran a request. Requests
	 * under which several processes crashed are refused.
	 * @param crash the request and the process
	 */
	void recordCrash(StrikeKey crash);

	/**
	 * Records that a request completed with success, so that it is not to blame for any
	 * crash.
	 * @param fingerprint the request
	 */
	void recordSuccess(Fingerprint fingerprint);

}
