package org.sardineport.core.scheduling;

import org.sardineport.core.admission.Permit;
import org.sardineport.core.admission.PermitListener;
import org.sardineport.core.admission.SchedulingRequest;
import org.sardineport.core.identity.DaemonId;

/**
 * A request of this daemon that has its permit.
 *
 * @param request the request
 * @param listener hears of a preemption
 * @param permit its permit
 * @param ask what the owner was asked
 * @param owner who granted the permit
 */
record RunningRequest(SchedulingRequest request, PermitListener listener, Permit permit, PermitRequest ask,
		DaemonId owner) {

}
