package org.sardineport.core.membership;

import org.sardineport.core.fleet.Member;
import org.sardineport.core.identity.NetworkAddress;

/**
 * What the membership asks for. Called within the calls to {@link Membership}, on the
 * same thread; an implementation must not call back.
 */
public interface MembershipOutput {

	/**
	 * Sends a message.
	 * @param to peer address of the receiver
	 * @param message the message
	 */
	void send(NetworkAddress to, MembershipMessage message);

	/**
	 * Something happened to a member.
	 * @param event what happened
	 * @param member the member as it is now held
	 */
	void happened(MembershipEvent event, Member member);

	/**
	 * A strike was heard of for the first time.
	 * @param strike the strike
	 */
	void strikeHeard(StrikeNews strike);

	/**
	 * A backend server was heard to leave.
	 * @param leaving the news
	 */
	void leavingHeard(LeavingNews leaving);

}
