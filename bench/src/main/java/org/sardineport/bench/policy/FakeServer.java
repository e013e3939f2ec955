package org.sardineport.bench.policy;

import org.sardineport.core.backend.BackendServer;
import org.sardineport.core.backend.LoadReport;

/**
 * Simulated backend server in virtual time.
 */
interface FakeServer {

	/**
	 * Returns the backend server that this object simulates.
	 * @return the backend server
	 */
	BackendServer server();

	/**
	 * Accepts a request regardless of the load, and queues it if it cannot run yet.
	 * @param job the request
	 */
	void admit(Job job);

	/**
	 * Removes a request that is running or queued.
	 * @param job the request
	 */
	void cancel(Job job);

	/**
	 * Returns the current load.
	 * @return a report without delay
	 */
	LoadReport load();

	/**
	 * Slows the server down.
	 * @param factor factor on all durations, 1 for full speed
	 */
	void slowDown(double factor);

}
