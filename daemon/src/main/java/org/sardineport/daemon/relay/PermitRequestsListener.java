package org.sardineport.daemon.relay;

import org.sardineport.core.admission.Permit;
import org.sardineport.core.request.Refusal;

/**
 * Receives the answers to the requests for permits, on the event loop.
 */
interface PermitRequestsListener {

	/**
	 * Called with a permit that can be used now.
	 * @param permit the permit, which the listener has to release
	 */
	void permitGranted(Permit permit);

	/**
	 * Called when there is no permit.
	 * @param refusal the reason
	 */
	void permitRefused(Refusal refusal);

}
