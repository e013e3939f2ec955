package org.sardineport.core.port.backend;

/**
 * One request in flight to a backend server. Thread-safe.
 */
public interface Exchange {

	/**
	 * Pauses the delivery of chunks until {@link #resume()}, so that a slow caller exerts
	 * back-pressure on the backend server.
	 */
	void pause();

	/**
	 * Resumes the delivery of chunks.
	 */
	void resume();

	/**
	 * Cancels the exchange, and the run on the backend server where it can be cancelled.
	 * The listener is notified of {@link BackendFailure#CANCELLED} unless the response
	 * has already ended.
	 */
	void cancel();

	/**
	 * Ends the exchange without cancelling the run on the backend server. The listener is
	 * notified of {@link BackendFailure#CANCELLED} unless the response has already ended.
	 */
	void detach();

}
