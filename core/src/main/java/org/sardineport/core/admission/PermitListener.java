package org.sardineport.core.admission;

import org.sardineport.core.request.Refusal;

/**
 * Hears what was decided for one request. Called on the scheduling thread; an
 * implementation hands over to its own thread and returns at once.
 */
public interface PermitListener {

	/**
	 * The request may be dispatched. The permit must be released in any case.
	 * @param permit the permit
	 */
	void granted(Permit permit);

	/**
	 * The request will not run.
	 * @param refusal why
	 */
	void refused(Refusal refusal);

	/**
	 * The running request must give up its place to the top tier: cancel it on the
	 * backend server, then release the permit.
	 * @param permit the permit whose use ends
	 */
	void preempted(Permit permit);

}
