package org.sardineport.standins.fleet;

import java.time.Instant;

import org.sardineport.core.fleet.Member;
import org.sardineport.core.identity.DaemonId;
import org.sardineport.core.membership.MembershipEvent;

/**
 * What one daemon found out about another.
 *
 * @param at when
 * @param observer who found out
 * @param event what
 * @param member about whom
 */
public record Observation(Instant at, DaemonId observer, MembershipEvent event, Member member) {

}
