package org.sardineport.core.membership;

import java.util.ArrayList;
import java.util.List;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.fleet.Member;

/**
 * Builds the responses to daemons that request members.
 */
final class JoinResponder {

	/** Keeps a message within one network packet. */
	private static final int MEMBERS_PER_MESSAGE = 12;

	/** Maximum number of messages with members for one request. */
	private static final int MAX_MESSAGES = 64;

	private final MemberTable table;

	private final ProbeSchedule schedule;

	JoinResponder(MemberTable table, ProbeSchedule schedule) {
		this.table = table;
		this.schedule = schedule;
	}

	/**
	 * Builds the responses. A request for all members gets as many as the limits above
	 * allow, any other a random sample that fits into one message.
	 * @param request the request
	 * @param requester the daemon that sent the request, or {@code null} if it belongs to
	 * another region; such a daemon learns of this daemon only
	 * @param updates updates for the requester, with this daemon first
	 * @return the messages to send, at least one
	 */
	List<MembershipMessage> respond(JoinRequest request, @Nullable Peer requester, GossipUpdates updates) {
		if (requester == null) {
			return List.of(new JoinResponse(updates));
		}
		int maxMembers = (request.complete()) ? MEMBERS_PER_MESSAGE * MAX_MESSAGES : MEMBERS_PER_MESSAGE;
		List<Peer> selected = this.schedule.sample(this.table.present(), maxMembers);
		List<MembershipMessage> responses = new ArrayList<>();
		responses.add(new JoinResponse(updates));
		for (int start = 0; start < selected.size(); start += MEMBERS_PER_MESSAGE) {
			List<Peer> batch = selected.subList(start, Math.min(start + MEMBERS_PER_MESSAGE, selected.size()));
			List<Member> members = new ArrayList<>();
			members.add(updates.members().get(0));
			batch.forEach((peer) -> members.add(peer.member()));
			responses.add(new JoinResponse(new GossipUpdates(members, List.of(), List.of())));
		}
		return responses;
	}

}
