package org.sardineport.core.membership;

import java.time.Duration;
import java.time.Instant;
import java.util.Objects;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.fleet.Member;
import org.sardineport.core.fleet.MemberStatus;

/**
 * State of another daemon as known to this one, with the progress of its suspicion. A
 * suspicion is local if a probe of this daemon failed, and shared if it was sent to other
 * members or received from one.
 */
final class Peer {

	private Member member;

	private Instant statusSince;

	private @Nullable Instant suspectedAt;

	private @Nullable Instant locallySuspectedAt;

	private boolean suspicionShared;

	private Instant notifiedAt = Instant.MIN;

	private @Nullable Instant heardAt;

	Peer(Member member, Instant now) {
		this.member = Objects.requireNonNull(member, "member must not be null");
		this.statusSince = now;
		this.suspectedAt = (member.status() == MemberStatus.SUSPECT) ? now : null;
		this.suspicionShared = member.status() == MemberStatus.SUSPECT;
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

	boolean isLocallySuspected() {
		return this.locallySuspectedAt != null;
	}

	/**
	 * Returns whether the daemon is not known to be dead.
	 * @return whether it is probed and listed in join responses
	 */
	boolean isPresent() {
		return status() != MemberStatus.DEAD;
	}

	/**
	 * Replaces the state by an update that supersedes it. What a daemon said of its
	 * processor stays known if another one passed the update on without it.
	 * @param update the update received
	 * @param now the current time
	 */
	void replace(Member update, Instant now) {
		if (update.status() != status()) {
			this.statusSince = now;
		}
		this.member = (update.processorPercent() == 0 && update.peerAddress().equals(this.member.peerAddress()))
				? update.withProcessorPercent(this.member.processorPercent()) : update;
		this.locallySuspectedAt = null;
		boolean suspected = update.status() == MemberStatus.SUSPECT;
		this.suspectedAt = (suspected) ? now : null;
		this.suspicionShared = suspected;
	}

	/**
	 * Updates load and configuration version, which change without a new incarnation. The
	 * version never decreases; the load is taken only from the daemon itself.
	 * @param update the update received
	 * @param direct whether the daemon itself sent it
	 */
	void refresh(Member update, boolean direct) {
		long version = Math.max(this.member.configurationVersion(), update.configurationVersion());
		int load = (direct) ? update.load() : this.member.load();
		if (version != this.member.configurationVersion() || load != this.member.load()) {
			this.member = this.member.withReport(version, load);
		}
		if (update.processorPercent() > this.member.processorPercent()) {
			this.member = this.member.withProcessorPercent(update.processorPercent());
		}
	}

	/**
	 * Suspects the daemon because a probe of this daemon failed.
	 * @param mayShare whether the suspicion may be shared with others
	 * @param now the current time
	 * @return whether to share the suspicion with others now
	 */
	boolean suspectLocally(boolean mayShare, Instant now) {
		if (this.suspectedAt == null) {
			this.suspectedAt = now;
		}
		if (this.locallySuspectedAt == null) {
			this.locallySuspectedAt = now;
		}
		if (status() == MemberStatus.ALIVE) {
			status(MemberStatus.SUSPECT, now);
		}
		boolean share = mayShare && !this.suspicionShared && status() == MemberStatus.SUSPECT;
		this.suspicionShared |= share;
		return share;
	}

	/**
	 * Clears a suspicion that has not been shared with others.
	 * @param now the current time
	 * @return whether there was such a suspicion
	 */
	boolean clearUnsharedSuspicion(Instant now) {
		if (this.suspectedAt == null || this.suspicionShared) {
			return false;
		}
		this.suspectedAt = null;
		this.locallySuspectedAt = null;
		if (status() == MemberStatus.SUSPECT) {
			status(MemberStatus.ALIVE, now);
		}
		return true;
	}

	/**
	 * Marks this daemon's own suspicion as not shared.
	 */
	void unshareSuspicion() {
		if (this.locallySuspectedAt != null) {
			this.suspicionShared = false;
		}
	}

	/**
	 * Restarts the suspicion timeout.
	 * @param start new start of the timeout
	 */
	void restartSuspicion(Instant start) {
		if (this.suspectedAt != null) {
			this.suspectedAt = start;
		}
		if (this.locallySuspectedAt != null) {
			this.locallySuspectedAt = start;
		}
	}

	/**
	 * Postpones the end of the suspicion.
	 * @param delay time for which this daemon could not take note of a refutation
	 */
	void postponeSuspicion(Duration delay) {
		if (this.suspectedAt != null) {
			this.suspectedAt = this.suspectedAt.plus(delay);
		}
		if (this.locallySuspectedAt != null) {
			this.locallySuspectedAt = this.locallySuspectedAt.plus(delay);
		}
	}

	/**
	 * Records that a message of the daemon itself was read.
	 * @param now the current time
	 */
	void heard(Instant now) {
		this.heardAt = now;
	}

	/**
	 * Returns when the time to refute the suspicion ends. The timeout holds for a daemon
	 * that this one probes itself. A daemon suspected by others has twice the timeout, as
	 * its refutation travels by way of others too. A daemon that still sends messages has
	 * the timeout from the last one on, as its refutation may be lost or late; bounded,
	 * as it may be unable to receive.
	 * @param timeout time to refute the suspicion
	 * @param lateness added to the timeout for want of processor time
	 * @return the time, or {@code null} if the daemon is not suspected
	 */
	@Nullable Instant suspicionEnd(Duration timeout, Duration lateness) {
		if (this.suspectedAt == null) {
			return null;
		}
		Instant shared = this.suspectedAt.plus(timeout.multipliedBy(2)).plus(lateness);
		Instant local = (this.locallySuspectedAt != null) ? this.locallySuspectedAt.plus(timeout).plus(lateness)
				: shared;
		Instant silent = local.isBefore(shared) ? local : shared;
		Instant sinceHeard = (this.heardAt != null) ? this.heardAt.plus(timeout) : silent;
		Instant latest = shared.plus(Member.MAXIMUM_LATENESS);
		Instant extended = sinceHeard.isBefore(latest) ? sinceHeard : latest;
		return extended.isAfter(silent) ? extended : silent;
	}

	void markDead(Instant now) {
		this.suspectedAt = null;
		this.locallySuspectedAt = null;
		status(MemberStatus.DEAD, now);
	}

	/**
	 * Records that the daemon is notified now of its status as known here, unless that
	 * was done recently.
	 * @param now the current time
	 * @param notAfter latest time of an earlier notification
	 * @return whether to notify the daemon now
	 */
	boolean markNotified(Instant now, Instant notAfter) {
		if (this.notifiedAt.isAfter(notAfter)) {
			return false;
		}
		this.notifiedAt = now;
		return true;
	}

	private void status(MemberStatus status, Instant now) {
		this.member = this.member.withStatus(status);
		this.statusSince = now;
	}

}
