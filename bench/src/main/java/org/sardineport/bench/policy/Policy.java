package org.sardineport.bench.policy;

import org.sardineport.core.admission.RunEnd;
import org.sardineport.core.backend.LoadReport;

/**
 * Assigns the requests of one simulation run to backend servers. Called with events in
 * the order of virtual time.
 */
interface Policy {

	/**
	 * Handles the arrival of a request.
	 * @param job the request
	 */
	void onArrival(Job job);

	/**
	 * Handles the end of a dispatched request.
	 * @param job the request
	 * @param end how it ended
	 */
	void onEnd(Job job, RunEnd end);

	/**
	 * Handles a request whose deadline has passed before it was dispatched.
	 * @param job the request
	 */
	void onExpiry(Job job);

	/**
	 * Handles the arrival of a load report, which is delayed.
	 * @param report the report
	 */
	void onLoadReport(LoadReport report);

	/**
	 * Checks the order of tiers after an event.
	 * @return whether no scheduler has a priority inversion; always true for a policy
	 * without tiers
	 */
	boolean isTierOrderKept();

}
