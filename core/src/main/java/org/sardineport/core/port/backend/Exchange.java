package org.sardineport.core.port.backend;

/**
 * One request in flight to a backend server. Safe for use by any thread.
 */
public interface Exchange {

	/**
	 * Stops the flow of chunks until {@link #resume()}, so that a slow caller holds back
	 * the backend server.
	 */
	void pause();

	/**
	 * Lets chunks flow again.
	 */
	void resume();

	/**
	 * Cancels the exchange, and the run on the backend server where it can be cancelled.
	 * The listener hears {@link BackendFailure#CANCELLED} unless the answer ended before.
	 */
	void cancel();

	/**
	 * Lets go of the exchange without a cancellation on the backend server. The listener
	 * hears {@link BackendFailure#CANCELLED} unless the answer ended before.
	 */
	void detach();

}
