package org.sardineport.standins.fleet;

import java.time.Instant;

import org.sardineport.core.fleet.Member;
import org.sardineport.core.identity.DaemonId;
import org.sardineport.core.membership.MembershipEvent;

/**
 * Membership event that one daemon has reported about another. Immutable.
 *
 * @param at virtual time of the event
 * @param observer daemon that reported the event
 * @param event the event
 * @param member daemon that the event concerns, as the observer sees it
 */
public record Observation(Instant at, DaemonId observer, MembershipEvent event, Member member) {

}
