package org.sardineport.core.membership;

import java.util.ArrayList;
import java.util.List;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.fleet.Member;

/**
 * Answers daemons that ask for members.
 */
final class JoinAnswers {

	/** Members named in one message, so that it fits into one packet of the network. */
	private static final int MEMBERS_PER_MESSAGE = 12;

	/** Most messages for one request. */
	private static final int MAXIMUM_MESSAGES = 64;

	private final MemberTable table;

	private final ProbeSchedule schedule;

	JoinAnswers(MemberTable table, ProbeSchedule schedule) {
		this.table = table;
		this.schedule = schedule;
	}

	/**
	 * Builds the answers.
	 * @param request the request
	 * @param asker who asks, or {@code null} if it is of another region, which learns of
	 * this daemon only
	 * @param news news for the asker, with this daemon first
	 * @return at least one message
	 */
	List<MembershipMessage> answer(JoinRequest request, @Nullable Peer asker, News news) {
		if (asker == null) {
			return List.of(new JoinResponse(news));
		}
		int wanted = (request.complete()) ? MEMBERS_PER_MESSAGE * MAXIMUM_MESSAGES : MEMBERS_PER_MESSAGE;
		List<Peer> named = this.schedule.sample(this.table.present(), wanted);
		List<MembershipMessage> answers = new ArrayList<>();
		answers.add(new JoinResponse(news));
		for (int from = 0; from < named.size(); from += MEMBERS_PER_MESSAGE) {
			List<Peer> part = named.subList(from, Math.min(from + MEMBERS_PER_MESSAGE, named.size()));
			List<Member> members = new ArrayList<>();
			members.add(news.members().get(0));
			part.forEach((peer) -> members.add(peer.member()));
			answers.add(new JoinResponse(new News(members, List.of(), List.of())));
		}
		return answers;
	}

}
