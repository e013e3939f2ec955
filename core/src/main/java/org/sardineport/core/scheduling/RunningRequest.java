package org.sardineport.core.scheduling;

import org.sardineport.core.admission.Permit;
import org.sardineport.core.admission.PermitListener;
import org.sardineport.core.admission.SchedulingRequest;
import org.sardineport.core.identity.DaemonId;

/**
 * A request of this daemon that holds a permit.
 *
 * @param request the request
 * @param listener receives a preemption
 * @param permit its permit
 * @param permitRequest permit request as reported to the owner
 * @param owner daemon that granted the permit
 */
record RunningRequest(SchedulingRequest request, PermitListener listener, Permit permit, PermitRequest permitRequest,
		DaemonId owner) {

}
