/**
 * View of the daemons and backend servers as known to this daemon. A
 * {@link org.sardineport.core.fleet.FleetView} publishes immutable
 * {@link org.sardineport.core.fleet.FleetSnapshot}s;
 * {@link org.sardineport.core.fleet.BackendDirectory} and
 * {@link org.sardineport.core.fleet.ListedMembers} combine the platform's VM list with
 * load reports and the membership.
 */
@NullMarked
package org.sardineport.core.fleet;

import org.jspecify.annotations.NullMarked;
