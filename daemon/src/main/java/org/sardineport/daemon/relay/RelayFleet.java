package org.sardineport.daemon.relay;

import java.util.Objects;

import org.sardineport.daemon.fleet.FleetSettings;

/**
 * A forwarding daemon's membership of a fleet.
 *
 * @param name name of the fleet
 * @param key secret by which its daemons know each other's messages
 * @param place what the daemon is to the others
 * @param incarnation number of this run, greater than that of any earlier run
 */
public record RelayFleet(String name, String key, FleetSettings place, long incarnation) {

	/**
	 * Creates the membership.
	 */
	public RelayFleet {
		Objects.requireNonNull(name, "name must not be null");
		Objects.requireNonNull(key, "key must not be null");
		Objects.requireNonNull(place, "place must not be null");
	}

	@Override
	public String toString() {
		return "RelayFleet[name=%s, place=%s, incarnation=%d]".formatted(this.name, this.place, this.incarnation);
	}

}
