package org.sardineport.core.admission;

import org.sardineport.core.identity.RequestId;

/**
 * Decides when and where requests run. All methods return at once and may be called from
 * any thread; answers come through the {@link PermitListener}.
 */
public interface RequestScheduler {

	/**
	 * Takes a request that waits for a permit. The listener gets exactly one of a permit
	 * or a refusal, unless the request is abandoned first.
	 * @param request the request
	 * @param listener hears the decision
	 */
	void submit(SchedulingRequest request, PermitListener listener);

	/**
	 * Drops a waiting request whose caller left. A request that has its permit already is
	 * not changed by this.
	 * @param request the request
	 */
	void abandon(RequestId request);

	/**
	 * Ends the use of a permit. Must be called exactly once for each permit granted.
	 * @param permit the permit
	 * @param measurement what was measured
	 */
	void release(Permit permit, RunMeasurement measurement);

}
