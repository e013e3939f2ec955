package org.sardineport.daemon.relay;

import java.util.Objects;

import org.sardineport.daemon.fleet.FleetSettings;

/**
 * Membership of a forwarding daemon in a fleet.
 *
 * @param name name of the fleet
 * @param key shared secret that authenticates messages between its daemons; left out of
 * {@link #toString()}
 * @param settings identity and addresses of the daemon, and how it finds the others
 * @param incarnation number of this run, greater than that of any earlier run
 */
public record RelayFleet(String name, String key, FleetSettings settings, long incarnation) {

	/**
	 * Creates the membership; name, key and settings are required.
	 */
	public RelayFleet {
		Objects.requireNonNull(name, "name must not be null");
		Objects.requireNonNull(key, "key must not be null");
		Objects.requireNonNull(settings, "settings must not be null");
	}

	@Override
	public String toString() {
		return "RelayFleet[name=%s, settings=%s, incarnation=%d]".formatted(this.name, this.settings, this.incarnation);
	}

}
