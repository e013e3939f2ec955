/**
 * Maintains this daemon's view of the fleet: the other daemons and the backend servers.
 * {@link org.sardineport.daemon.fleet.FleetService} runs the membership protocol and
 * fetches the VM list on one thread, and publishes a snapshot of the fleet after each
 * change.
 */
@NullMarked
package org.sardineport.daemon.fleet;

import org.jspecify.annotations.NullMarked;
