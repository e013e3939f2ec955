package org.sardineport.core.membership;

import java.util.List;

import org.sardineport.core.fleet.Member;

/**
 * Updates that one daemon sends to another along with a message. Immutable.
 *
 * @param members states of daemons as known to the sender, the sender first
 * @param strikes strikes against requests
 * @param leavingBackends backend servers that are leaving
 */
public record GossipUpdates(List<Member> members, List<StrikeUpdate> strikes, List<LeavingUpdate> leavingBackends) {

	/** Contains no updates. */
	public static final GossipUpdates NONE = new GossipUpdates(List.of(), List.of(), List.of());

	/**
	 * Creates the updates from copies of the lists.
	 */
	public GossipUpdates {
		members = List.copyOf(members);
		strikes = List.copyOf(strikes);
		leavingBackends = List.copyOf(leavingBackends);
	}

	/**
	 * Returns updates about members only.
	 * @param members the members, the sender first
	 * @return the updates, without strikes and leaving backend servers
	 */
	public static GossipUpdates of(Member... members) {
		return new GossipUpdates(List.of(members), List.of(), List.of());
	}

}
