/**
 * Clock of a running daemon, used for deadlines and leases: {@link SteadyInstantSource}
 * is unaffected by changes of the system's time.
 */
@NullMarked
package org.sardineport.daemon.time;

import org.jspecify.annotations.NullMarked;
