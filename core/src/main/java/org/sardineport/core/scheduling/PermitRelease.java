package org.sardineport.core.scheduling;

import java.util.Objects;

import org.sardineport.core.admission.RunMeasurement;
import org.sardineport.core.identity.BackendServerId;
import org.sardineport.core.identity.RequestId;

/**
 * Message from entry to owner: the permit is no longer in use.
 *
 * @param request identity of the request
 * @param backendServer backend server for which the permit was granted
 * @param measurement measurement of the run; zeros if the permit was not used
 */
public record PermitRelease(RequestId request, BackendServerId backendServer,
		RunMeasurement measurement) implements SchedulingMessage {

	/**
	 * Creates the record.
	 */
	public PermitRelease {
		Objects.requireNonNull(request, "request must not be null");
		Objects.requireNonNull(backendServer, "backendServer must not be null");
		Objects.requireNonNull(measurement, "measurement must not be null");
	}

}
