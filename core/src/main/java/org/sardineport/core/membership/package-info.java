/**
 * Who is alive: probes, suspicion and news between the daemons of a region, as a pure
 * state machine.
 */
@NullMarked
package org.sardineport.core.membership;

import org.jspecify.annotations.NullMarked;
