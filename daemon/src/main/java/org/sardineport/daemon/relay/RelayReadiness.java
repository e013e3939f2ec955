package org.sardineport.daemon.relay;

import java.util.ArrayList;
import java.util.List;

import org.sardineport.core.relay.ConfigurationInForce;
import org.sardineport.daemon.fleet.SelfReport;
import org.sardineport.daemon.http.Readiness;

/**
 * Whether this daemon serves, for those who ask it and for the other daemons. Safe for
 * use by any thread.
 */
final class RelayReadiness implements Readiness, SelfReport {

	private final ConfigurationInForce inForce;

	private volatile boolean stopping;

	RelayReadiness(ConfigurationInForce inForce) {
		this.inForce = inForce;
	}

	void stopping() {
		this.stopping = true;
	}

	@Override
	public List<String> obstacles() {
		List<String> obstacles = new ArrayList<>();
		if (this.stopping) {
			obstacles.add("The daemon stops.");
		}
		if (!this.inForce.isProved()) {
			obstacles.add("The configuration is being read.");
		}
		return obstacles;
	}

	@Override
	public long configurationVersion() {
		return this.inForce.isProved() ? this.inForce.current().version() : SelfReport.NONE.configurationVersion();
	}

	@Override
	public int load() {
		return 0;
	}

}
