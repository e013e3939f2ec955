package org.sardineport.core.membership;

import org.sardineport.core.fleet.Member;
import org.sardineport.core.identity.NetworkAddress;

/**
 * Receives the messages and events of a {@link Membership}. Called during calls to the
 * membership, on the same thread; an implementation must not call back into it.
 */
public interface MembershipOutput {

	/**
	 * Sends a message to another daemon.
	 * @param to peer address of the receiver
	 * @param message the message
	 */
	void send(NetworkAddress to, MembershipMessage message);

	/**
	 * Called when the state of a member has changed.
	 * @param event the event
	 * @param member the member after the change
	 */
	void onEvent(MembershipEvent event, Member member);

	/**
	 * Called when a strike is received for the first time.
	 * @param strike the strike
	 */
	void onStrike(StrikeUpdate strike);

	/**
	 * Called when a leaving backend server is reported for the first time.
	 * @param leaving the backend server and the age of its report
	 */
	void onBackendLeaving(LeavingUpdate leaving);

}
