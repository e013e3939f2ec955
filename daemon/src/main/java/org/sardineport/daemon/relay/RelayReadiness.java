package org.sardineport.daemon.relay;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.IntSupplier;

import org.sardineport.core.relay.ConfigurationInForce;
import org.sardineport.core.relay.ReadPacing;
import org.sardineport.daemon.fleet.SelfReport;
import org.sardineport.daemon.http.Readiness;

/**
 * Readiness of this daemon, for its readiness endpoint and for its reports to the other
 * daemons. Safe for use by any thread.
 */
final class RelayReadiness implements Readiness, SelfReport {

	private final ConfigurationInForce inForce;

	private final BooleanSupplier backendsKnown;

	private final IntSupplier daemons;

	private volatile boolean stopping;

	/**
	 * Creates the readiness of a daemon that serves callers.
	 * @param inForce the configuration in force
	 * @param backendsKnown whether backend servers are listed
	 * @param daemons number of daemons of the fleet, on which the age of reads depends
	 */
	RelayReadiness(ConfigurationInForce inForce, BooleanSupplier backendsKnown, IntSupplier daemons) {
		this.backendsKnown = backendsKnown;
		this.inForce = inForce;
		this.daemons = daemons;
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
		boolean fresh = this.inForce.isFresh() && this.inForce.readAgeMillis() < maximumAge();
		boolean serves = fresh && this.backendsKnown.getAsBoolean();
		return serves ? this.inForce.current().version() : SelfReport.NONE.configurationVersion();
	}

	private long maximumAge() {
		return ReadPacing.maximumServingAge(this.daemons.getAsInt()).toMillis();
	}

	@Override
	public int load() {
		return 0;
	}

}
