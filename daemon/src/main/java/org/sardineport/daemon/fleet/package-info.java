/**
 * The duty that knows the fleet: other daemons and backend servers.
 */
@NullMarked
package org.sardineport.daemon.fleet;

import org.jspecify.annotations.NullMarked;
