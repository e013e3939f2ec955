package org.sardineport.daemon;

import java.util.function.IntSupplier;

import org.sardineport.core.configuration.ConfigurationView;
import org.sardineport.core.entry.EntryLoad;
import org.sardineport.core.fleet.FleetView;
import org.sardineport.daemon.fleet.SelfReport;

/**
 * Values that a daemon reports about itself to the other members. Each call reads the
 * current state.
 *
 * @param configuration source of the configuration version in force
 * @param fleet source of the capacity that the load is relative to
 * @param inFlight number of requests in flight on the daemon
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
