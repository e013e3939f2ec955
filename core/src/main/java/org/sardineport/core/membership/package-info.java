/**
 * Failure detection and gossip between the daemons of a region, in the manner of the SWIM
 * protocol. {@link org.sardineport.core.membership.Membership} is a state machine without
 * I/O: it receives messages and ticks, keeps the state of all members in a
 * {@code MemberTable}, and sends messages and events through a
 * {@link org.sardineport.core.membership.MembershipOutput}. Membership updates travel
 * along with the probes and their responses.
 */
@NullMarked
package org.sardineport.core.membership;

import org.jspecify.annotations.NullMarked;
