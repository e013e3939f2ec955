package org.sardineport.core.membership;

import java.time.Duration;
import java.time.Instant;
import java.util.Objects;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.fleet.Member;
import org.sardineport.core.fleet.MemberStatus;

/**
 * Another daemon, as this one holds it.
 */
final class Peer {

	private Member member;

	private Instant statusSince;

	private @Nullable Instant suspectedAt;

	private @Nullable Instant accusedAt;

	private boolean toldToOthers;

	private Instant challengedAt = Instant.MIN;

	Peer(Member member, Instant now) {
		this.member = Objects.requireNonNull(member, "member must not be null");
		this.statusSince = now;
		this.suspectedAt = (member.status() == MemberStatus.SUSPECT) ? now : null;
		this.toldToOthers = member.status() == MemberStatus.SUSPECT;
	}

	Member member() {
		return this.member;
	}

	MemberStatus status() {
		return this.member.status();
	}

	Instant statusSince() {
		return this.statusSince;
	}

	@Nullable Instant suspectedAt() {
		return this.suspectedAt;
	}

	boolean isAccusedBySelf() {
		return this.accusedAt != null;
	}

	/**
	 * Returns whether the daemon takes part.
	 * @return whether it is probed and named in views
	 */
	boolean isPresent() {
		return status() != MemberStatus.DEAD;
	}

	/**
	 * Takes over what supersedes the state held.
	 * @param update what was heard
	 * @param now the current time
	 */
	void replace(Member update, Instant now) {
		if (update.status() != status()) {
			this.statusSince = now;
		}
		this.member = update;
		this.accusedAt = null;
		boolean suspected = update.status() == MemberStatus.SUSPECT;
		this.suspectedAt = (suspected) ? now : null;
		this.toldToOthers = suspected;
	}

	/**
	 * Takes over load and version, which change without a new incarnation.
	 * @param update what was heard
	 * @param direct whether the daemon itself said so
	 */
	void refresh(Member update, boolean direct) {
		long version = Math.max(this.member.configurationVersion(), update.configurationVersion());
		int load = (direct) ? update.load() : this.member.load();
		if (version != this.member.configurationVersion() || load != this.member.load()) {
			this.member = new Member(this.member.id(), this.member.incarnation(), status(), this.member.failureDomain(),
					this.member.peerAddress(), this.member.callerAddress(), version, load);
		}
	}

	/**
	 * Marks the daemon as not answering this one.
	 * @param tell whether others may hear of it
	 * @param now the current time
	 * @return whether others are to hear of it now
	 */
	boolean accuse(boolean tell, Instant now) {
		if (this.suspectedAt == null) {
			this.suspectedAt = now;
		}
		if (this.accusedAt == null) {
			this.accusedAt = now;
		}
		if (status() == MemberStatus.ALIVE) {
			status(MemberStatus.SUSPECT, now);
		}
		boolean news = tell && !this.toldToOthers && status() == MemberStatus.SUSPECT;
		this.toldToOthers |= news;
		return news;
	}

	/**
	 * Takes back a suspicion that nobody else was told of.
	 * @param now the current time
	 * @return whether there was one
	 */
	boolean acquit(Instant now) {
		if (this.suspectedAt == null || this.toldToOthers) {
			return false;
		}
		this.suspectedAt = null;
		this.accusedAt = null;
		if (status() == MemberStatus.SUSPECT) {
			status(MemberStatus.ALIVE, now);
		}
		return true;
	}

	/**
	 * Keeps this daemon's own suspicion to itself from now on.
	 */
	void withdrawAccusation() {
		if (this.accusedAt != null) {
			this.toldToOthers = false;
		}
	}

	/**
	 * Lets the time of suspicion begin later.
	 * @param start when it begins
	 */
	void suspectedSince(Instant start) {
		if (this.suspectedAt != null) {
			this.suspectedAt = start;
		}
		if (this.accusedAt != null) {
			this.accusedAt = start;
		}
	}

	/**
	 * Returns whether the daemon has not cleared itself in time. One that this daemon
	 * asks itself has the timeout; one that others suspect has twice that, as its denial
	 * comes by way of others too.
	 * @param now the current time
	 * @param timeout time to clear itself
	 * @return whether to take it for dead
	 */
	boolean isOverdue(Instant now, Duration timeout) {
		if (this.accusedAt != null && !now.isBefore(this.accusedAt.plus(timeout))) {
			return true;
		}
		return this.suspectedAt != null && !now.isBefore(this.suspectedAt.plus(timeout.multipliedBy(2)));
	}

	void die(Instant now) {
		this.suspectedAt = null;
		this.accusedAt = null;
		status(MemberStatus.DEAD, now);
	}

	/**
	 * Remembers that the daemon is told now how it is held, unless it was told lately.
	 * @param now the current time
	 * @param notAfter latest time at which it may have been told before
	 * @return whether it is to be told
	 */
	boolean challenge(Instant now, Instant notAfter) {
		if (this.challengedAt.isAfter(notAfter)) {
			return false;
		}
		this.challengedAt = now;
		return true;
	}

	private void status(MemberStatus status, Instant now) {
		this.member = new Member(this.member.id(), this.member.incarnation(), status, this.member.failureDomain(),
				this.member.peerAddress(), this.member.callerAddress(), this.member.configurationVersion(),
				this.member.load());
		this.statusSince = now;
	}

}
