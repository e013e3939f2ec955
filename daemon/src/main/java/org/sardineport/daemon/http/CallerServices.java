package org.sardineport.daemon.http;

import java.time.InstantSource;
import java.util.Objects;
import java.util.function.BooleanSupplier;

import org.sardineport.core.configuration.ConfigurationView;
import org.sardineport.core.exchange.AdmissionCheck;
import org.sardineport.core.fleet.FleetView;
import org.sardineport.core.journal.RequestJournal;
import org.sardineport.daemon.exchange.RequestRunner;
import org.sardineport.daemon.telemetry.Telemetry;
import org.sardineport.settings.CallerSettings;

/**
 * The services used by the caller server.
 *
 * @param settings limits for caller requests
 * @param admission checks request heads
 * @param configuration the configuration in force
 * @param backendsListed whether the list of backend servers has been read
 * @param fleet the members and backend servers of the fleet
 * @param journal stores the states of keyed requests
 * @param runner runs admitted requests
 * @param clock the source of arrival times
 * @param telemetry the metrics to update
 */
public record CallerServices(CallerSettings settings, AdmissionCheck admission, ConfigurationView configuration,
		BooleanSupplier backendsListed, FleetView fleet, RequestJournal journal, RequestRunner runner,
		InstantSource clock, Telemetry telemetry) {

	/**
	 * Creates the services; none may be {@code null}.
	 */
	public CallerServices {
		Objects.requireNonNull(settings, "settings must not be null");
		Objects.requireNonNull(admission, "admission must not be null");
		Objects.requireNonNull(configuration, "configuration must not be null");
		Objects.requireNonNull(backendsListed, "backendsListed must not be null");
		Objects.requireNonNull(fleet, "fleet must not be null");
		Objects.requireNonNull(journal, "journal must not be null");
		Objects.requireNonNull(runner, "runner must not be null");
		Objects.requireNonNull(clock, "clock must not be null");
		Objects.requireNonNull(telemetry, "telemetry must not be null");
	}

}
