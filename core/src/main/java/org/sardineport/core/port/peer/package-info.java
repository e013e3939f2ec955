/**
 * Port to the other daemons of the fleet.
 */
@NullMarked
package org.sardineport.core.port.peer;

import org.jspecify.annotations.NullMarked;
