package org.sardineport.core.membership;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.fleet.Member;
import org.sardineport.core.fleet.MemberStatus;

/**
 * This daemon, as it tells the others of itself.
 */
final class SelfState {

	private Member member;

	SelfState(Member member) {
		this.member = member;
	}

	Member member() {
		return this.member;
	}

	void report(long configurationVersion, int load) {
		this.member = new Member(this.member.id(), this.member.incarnation(), this.member.status(),
				this.member.failureDomain(), this.member.peerAddress(), this.member.callerAddress(),
				configurationVersion, load);
	}

	/**
	 * Takes a graver status under a new incarnation.
	 * @param status the status
	 */
	void become(MemberStatus status) {
		renew(this.member.incarnation() + 1, status);
	}

	/**
	 * Denies what others hold of this daemon, if it is wrong. A later run under the same
	 * name and another address is not denied: this daemon gives way to it.
	 * @param update what was heard
	 * @return what happened, or {@code null} if nothing
	 */
	@Nullable MembershipEvent hear(Member update) {
		boolean same = update.incarnation() == this.member.incarnation() && update.status() == this.member.status();
		if (update.incarnation() < this.member.incarnation() || same) {
			return null;
		}
		if (isLaterRunElsewhere(update)) {
			renew(this.member.incarnation(), MemberStatus.LEAVING);
			return MembershipEvent.NAME_IN_USE;
		}
		renew(update.incarnation() + 1, this.member.status());
		return MembershipEvent.REFUTED;
	}

	private boolean isLaterRunElsewhere(Member update) {
		boolean running = update.status() == MemberStatus.ALIVE || update.status() == MemberStatus.LEAVING;
		return running && update.incarnation() > this.member.incarnation()
				&& !update.peerAddress().equals(this.member.peerAddress());
	}

	private void renew(long incarnation, MemberStatus status) {
		this.member = new Member(this.member.id(), incarnation, status, this.member.failureDomain(),
				this.member.peerAddress(), this.member.callerAddress(), this.member.configurationVersion(),
				this.member.load());
	}

}
