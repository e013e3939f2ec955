package org.sardineport.core.scheduling;

import java.util.Objects;

import org.sardineport.core.admission.RunMeasurement;
import org.sardineport.core.identity.BackendServerId;
import org.sardineport.core.identity.RequestId;

/**
 * Entry to owner: the permit's use has ended.
 *
 * @param request identity of the request
 * @param backendServer where it ran
 * @param measurement what was measured
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
