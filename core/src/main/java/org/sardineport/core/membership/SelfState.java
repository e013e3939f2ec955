package org.sardineport.core.membership;

import java.time.Duration;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.fleet.Member;
import org.sardineport.core.fleet.MemberStatus;

/**
 * State that this daemon reports of itself to the other members.
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
		if (configurationVersion != this.member.configurationVersion() || load != this.member.load()) {
			this.member = this.member.withReport(configurationVersion, load);
		}
	}

	/**
	 * Changes by how much this daemon is late, and increments the incarnation, so that
	 * others pass the change on.
	 * @param lateness the lateness
	 * @return whether it has changed
	 */
	boolean reportLateness(Duration lateness) {
		if (lateness.equals(this.member.lateness())) {
			return false;
		}
		this.member = this.member.withLateness(lateness).withIncarnation(this.member.incarnation() + 1);
		return true;
	}

	/**
	 * Changes the status and increments the incarnation, so that the change supersedes
	 * what others hold.
	 * @param status the new status
	 */
	void changeStatus(MemberStatus status) {
		replace(this.member.incarnation() + 1, status);
	}

	/**
	 * Refutes an update about this daemon that is wrong, by taking a greater incarnation.
	 * An update from a later run under the same name at another address is not refuted;
	 * this daemon changes to {@link MemberStatus#LEAVING} instead.
	 * @param update the update received
	 * @return the resulting event, or {@code null} if the update is correct or outdated
	 */
	@Nullable MembershipEvent apply(Member update) {
		boolean unchanged = update.incarnation() == this.member.incarnation()
				&& update.status() == this.member.status();
		if (update.incarnation() < this.member.incarnation() || unchanged) {
			return null;
		}
		if (isLaterRunAtOtherAddress(update)) {
			replace(this.member.incarnation(), MemberStatus.LEAVING);
			return MembershipEvent.NAME_IN_USE;
		}
		replace(update.incarnation() + 1, this.member.status());
		return MembershipEvent.REFUTED;
	}

	private boolean isLaterRunAtOtherAddress(Member update) {
		boolean running = update.status() == MemberStatus.ALIVE || update.status() == MemberStatus.LEAVING;
		return running && update.incarnation() > this.member.incarnation()
				&& !update.peerAddress().equals(this.member.peerAddress());
	}

	private void replace(long incarnation, MemberStatus status) {
		this.member = this.member.withIncarnation(incarnation).withStatus(status);
	}

}
