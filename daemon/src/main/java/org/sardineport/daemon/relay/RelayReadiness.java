package org.sardineport.daemon.relay;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;

import org.sardineport.core.relay.ConfigurationInForce;
import org.sardineport.daemon.fleet.SelfReport;
import org.sardineport.daemon.http.Readiness;

/**
 * Readiness of this daemon, for its readiness endpoint and for its reports to the other
 * daemons. Safe for use by any thread.
 */
final class RelayReadiness implements Readiness, SelfReport {

	/**
	 * Age of the newest configuration read at which callers are better served by other
	 * daemons.
	 */
	private static final long MAX_PROOF_AGE_MILLIS = 2500;

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
	public List<String> blockers() {
		List<String> blockers = new ArrayList<>();
		if (this.stopping) {
			blockers.add("The daemon stops.");
		}
		if (!this.inForce.isFresh()) {
			blockers.add(this.inForce.isSuperseded() ? "The newest configuration cannot be read; write another one."
					: "The configuration is being read.");
		}
		if (!this.backendsKnown.getAsBoolean()) {
			blockers.add("The list of backend servers is being read.");
		}
		return blockers;
	}

	@Override
	public long configurationVersion() {
		boolean fresh = this.inForce.isFresh() && this.inForce.readAgeMillis() < MAX_PROOF_AGE_MILLIS;
		boolean serves = fresh && this.backendsKnown.getAsBoolean();
		return serves ? this.inForce.current().version() : SelfReport.NONE.configurationVersion();
	}

	@Override
	public int load() {
		return 0;
	}

}
