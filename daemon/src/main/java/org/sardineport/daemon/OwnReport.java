package org.sardineport.daemon;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.configuration.ConfigurationSnapshot;
import org.sardineport.core.configuration.ConfigurationView;
import org.sardineport.daemon.fleet.SelfReport;
import org.sardineport.daemon.http.CallerServer;

/**
 * What this daemon tells the others of itself. The parts it asks are connected after they
 * have been created, as they need the fleet themselves.
 */
final class OwnReport implements SelfReport {

	private static final int FULL = 100;

	private final int capacity;

	private volatile @Nullable ConfigurationView configuration;

	private volatile @Nullable CallerServer callers;

	OwnReport(int capacity) {
		this.capacity = Math.max(1, capacity);
	}

	void connect(ConfigurationView newConfiguration, CallerServer newCallers) {
		this.configuration = newConfiguration;
		this.callers = newCallers;
	}

	@Override
	public long configurationVersion() {
		ConfigurationView asked = this.configuration;
		return (asked != null) ? asked.current().version() : ConfigurationSnapshot.NO_VERSION;
	}

	@Override
	public int load() {
		CallerServer asked = this.callers;
		return (asked != null) ? Math.min(FULL, FULL * asked.inFlight() / this.capacity) : 0;
	}

}
