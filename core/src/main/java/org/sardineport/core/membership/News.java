package org.sardineport.core.membership;

import java.util.List;

import org.sardineport.core.fleet.Member;

/**
 * What one daemon tells another along with a probe. Immutable.
 *
 * @param members what the sender holds true of daemons, the sender first
 * @param strikes strikes against requests
 * @param leavingBackends backend servers that are leaving
 */
public record News(List<Member> members, List<StrikeNews> strikes, List<LeavingNews> leavingBackends) {

	/** No news at all. */
	public static final News NONE = new News(List.of(), List.of(), List.of());

	/**
	 * Creates the news.
	 */
	public News {
		members = List.copyOf(members);
		strikes = List.copyOf(strikes);
		leavingBackends = List.copyOf(leavingBackends);
	}

	/**
	 * Returns news of members only.
	 * @param members the members, the sender first
	 * @return the news
	 */
	public static News of(Member... members) {
		return new News(List.of(members), List.of(), List.of());
	}

}
