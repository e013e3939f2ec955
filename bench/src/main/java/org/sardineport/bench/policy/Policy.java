package org.sardineport.bench.policy;

import org.sardineport.core.admission.RunEnd;
import org.sardineport.core.backend.LoadReport;

/**
 * Decides where requests run in one run of the measurement.
 */
interface Policy {

	/**
	 * A request arrives.
	 * @param job the request
	 */
	void onArrival(Job job);

	/**
	 * A dispatched request ended.
	 * @param job the request
	 * @param end how it ended
	 */
	void onEnd(Job job, RunEnd end);

	/**
	 * The deadline of a request passed before it was dispatched.
	 * @param job the request
	 */
	void onExpiry(Job job);

	/**
	 * A load report arrives, late.
	 * @param report the report
	 */
	void onLoadReport(LoadReport report);

	/**
	 * Looks at the state after an event.
	 * @return whether the order of tiers holds, or is not promised by this policy
	 */
	boolean isTierOrderKept();

}
