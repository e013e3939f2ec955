package org.sardineport.core.admission;

import org.sardineport.core.request.Refusal;

/**
 * Receives the scheduling decisions for one request. The methods are called on the
 * scheduling thread, so an implementation hands over to its own thread and returns
 * immediately.
 */
public interface PermitListener {

	/**
	 * Called when the scheduling thread takes the request up, before anything else.
	 */
	default void accepted() {
	}

	/**
	 * Called each time that the request begins to wait in a queue at the owner of a
	 * backend server.
	 */
	default void queued() {
	}

	/**
	 * Called when the request may be dispatched. The permit must be released whether it
	 * is used or not.
	 * @param permit the permit
	 */
	void granted(Permit permit);

	/**
	 * Called when the request will not run.
	 * @param refusal the reason
	 */
	void refused(Refusal refusal);

	/**
	 * Called when the running request is preempted for the top tier. The implementation
	 * cancels it on the backend server and then releases the permit.
	 * @param permit the permit to release
	 */
	void preempted(Permit permit);

}
