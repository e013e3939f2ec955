package org.sardineport.daemon;

import java.util.function.IntSupplier;

import org.sardineport.core.configuration.ConfigurationView;
import org.sardineport.core.entry.EntryLoad;
import org.sardineport.core.fleet.FleetView;
import org.sardineport.daemon.fleet.SelfReport;

/**
 * What a daemon tells the others of itself.
 *
 * @param configuration the configuration in force
 * @param fleet the fleet
 * @param inFlight the number of requests that the daemon holds
 */
record DaemonReport(ConfigurationView configuration, FleetView fleet, IntSupplier inFlight) implements SelfReport {

	@Override
	public long configurationVersion() {
		return this.configuration.current().version();
	}

	@Override
	public int load() {
		return EntryLoad.percent(this.inFlight.getAsInt(), this.fleet.current());
	}

}
