package org.sardineport.daemon.relay;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;

import org.sardineport.core.relay.ConfigurationInForce;
import org.sardineport.daemon.fleet.SelfReport;
import org.sardineport.daemon.http.Readiness;

/**
 * Whether this daemon serves, for those who ask it and for the other daemons. Safe for
 * use by any thread.
 */
final class RelayReadiness implements Readiness, SelfReport {

	/** Age of the newest read from which callers are better served by other daemons. */
	private static final long FRESH_MILLIS = 2500;

	private final ConfigurationInForce inForce;

	private final BooleanSupplier backendsKnown;

	private volatile boolean stopping;

	RelayReadiness(ConfigurationInForce inForce, BooleanSupplier backendsKnown) {
		this.backendsKnown = backendsKnown;
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
		if (!this.backendsKnown.getAsBoolean()) {
			obstacles.add("The list of backend servers is being read.");
		}
		return obstacles;
	}

	@Override
	public long configurationVersion() {
		boolean fresh = this.inForce.isProved() && this.inForce.proofAgeMillis() < FRESH_MILLIS;
		boolean serves = fresh && this.backendsKnown.getAsBoolean();
		return serves ? this.inForce.current().version() : SelfReport.NONE.configurationVersion();
	}

	@Override
	public int load() {
		return 0;
	}

}
