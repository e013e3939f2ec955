package org.sardineport.bench.policy;

import org.sardineport.core.backend.BackendServer;
import org.sardineport.core.backend.LoadReport;

/**
 * A small fake of a backend server in virtual time.
 */
interface FakeServer {

	/**
	 * Returns which backend server this is.
	 * @return the backend server
	 */
	BackendServer server();

	/**
	 * Takes a request, as engines do, without regard to load.
	 * @param job the request
	 */
	void admit(Job job);

	/**
	 * Stops a request.
	 * @param job the request
	 */
	void cancel(Job job);

	/**
	 * Returns the load at this moment.
	 * @return the report, which the caller delivers late
	 */
	LoadReport load();

	/**
	 * Changes the speed.
	 * @param factor factor on all times
	 */
	void slowDown(double factor);

}
