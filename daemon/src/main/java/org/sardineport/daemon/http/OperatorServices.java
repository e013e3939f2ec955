package org.sardineport.daemon.http;

import java.util.Objects;
import java.util.function.IntSupplier;

import org.sardineport.core.configuration.ConfigurationView;
import org.sardineport.core.fleet.FleetView;
import org.sardineport.daemon.telemetry.Telemetry;

/**
 * The sources of the data served to operators.
 *
 * @param configuration the configuration in force
 * @param fleet the members and backend servers of the fleet
 * @param readiness whether the daemon is ready to serve requests
 * @param inFlight the number of caller requests in flight
 * @param telemetry the metrics to export
 */
public record OperatorServices(ConfigurationView configuration, FleetView fleet, Readiness readiness,
		IntSupplier inFlight, Telemetry telemetry) {

	/**
	 * Creates the services; none may be {@code null}.
	 */
	public OperatorServices {
		Objects.requireNonNull(configuration, "configuration must not be null");
		Objects.requireNonNull(fleet, "fleet must not be null");
		Objects.requireNonNull(readiness, "readiness must not be null");
		Objects.requireNonNull(inFlight, "inFlight must not be null");
		Objects.requireNonNull(telemetry, "telemetry must not be null");
	}

}
