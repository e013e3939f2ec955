package org.sardineport.daemon.http;

import java.util.Objects;
import java.util.function.IntSupplier;

import org.sardineport.core.configuration.ConfigurationView;
import org.sardineport.core.fleet.FleetView;
import org.sardineport.daemon.telemetry.Telemetry;

/**
 * What the operators' server shows.
 *
 * @param configuration the configuration in force
 * @param fleet the fleet
 * @param readiness whether the daemon serves
 * @param inFlight the number of requests in flight
 * @param telemetry the metrics
 */
public record OperatorServices(ConfigurationView configuration, FleetView fleet, Readiness readiness,
		IntSupplier inFlight, Telemetry telemetry) {

	/**
	 * Creates the services.
	 */
	public OperatorServices {
		Objects.requireNonNull(configuration, "configuration must not be null");
		Objects.requireNonNull(fleet, "fleet must not be null");
		Objects.requireNonNull(readiness, "readiness must not be null");
		Objects.requireNonNull(inFlight, "inFlight must not be null");
		Objects.requireNonNull(telemetry, "telemetry must not be null");
	}

}
