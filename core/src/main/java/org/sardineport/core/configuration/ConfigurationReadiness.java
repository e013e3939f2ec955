package org.sardineport.core.configuration;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.sardineport.core.fleet.Member;
import org.sardineport.core.fleet.MemberStatus;
import org.sardineport.core.identity.DaemonId;

/**
 * Decides when a new daemon may serve: as soon as it holds the newest configuration known
 * to the log or, while the log is down, to its peers. Once ready it stays ready. Not safe
 * for use by several threads.
 */
public final class ConfigurationReadiness {

	/**
	 * Number of peers that must have confirmed their version while the log is down; all
	 * live peers if there are fewer.
	 */
	static final int REQUIRED_CONFIRMATIONS = 3;

	private final DaemonId self;

	private final Map<DaemonId, Long> confirmed = new HashMap<>();

	private boolean logAtEnd;

	private boolean logDown;

	private boolean ready;

	private ConfigurationReadiness(DaemonId self) {
		this.self = self;
	}

	/**
	 * Returns the readiness of a daemon that has just started.
	 * @param self the daemon
	 * @return the readiness, not ready yet
	 */
	public static ConfigurationReadiness create(DaemonId self) {
		return new ConfigurationReadiness(self);
	}

	/**
	 * Records that all records in the log have been replayed.
	 */
	public void logAtEnd() {
		this.logAtEnd = true;
		this.logDown = false;
	}

	/**
	 * Records that a read of the log failed.
	 */
	public void logFailed() {
		this.logDown = true;
	}

	/**
	 * Records the version that a peer reported of itself. Ignored unless the peer is
	 * ready.
	 * @param peer the peer
	 * @param version the version in force there
	 * @param peerReady whether the peer itself is ready
	 */
	public void peerReported(DaemonId peer, long version, boolean peerReady) {
		if (!this.ready && peerReady) {
			this.confirmed.merge(peer, version, Math::max);
		}
	}

	/**
	 * Updates the decision. Once it has returned {@code true} it always does.
	 * @param version version in force on this daemon
	 * @param members all known daemons
	 * @return whether this daemon may serve
	 */
	public boolean update(long version, List<Member> members) {
		if (!this.ready && version >= newestKnown(members) && (this.logAtEnd || isConfirmedByPeers(members))) {
			this.ready = true;
			this.confirmed.clear();
		}
		return this.ready;
	}

	/**
	 * Returns the latest decision.
	 * @return whether this daemon may serve
	 */
	public boolean isReady() {
		return this.ready;
	}

	private long newestKnown(List<Member> members) {
		long newest = this.confirmed.values()
			.stream()
			.mapToLong(Long::longValue)
			.max()
			.orElse(ConfigurationSnapshot.NO_VERSION);
		for (Member member : members) {
			if (isLivePeer(member)) {
				newest = Math.max(newest, member.configurationVersion());
			}
		}
		return newest;
	}

	private boolean isConfirmedByPeers(List<Member> members) {
		List<DaemonId> live = members.stream().filter(this::isLivePeer).map(Member::id).toList();
		long confirmations = live.stream().filter(this.confirmed::containsKey).count();
		return this.logDown && !live.isEmpty() && confirmations >= Math.min(REQUIRED_CONFIRMATIONS, live.size());
	}

	private boolean isLivePeer(Member member) {
		return member.status() != MemberStatus.DEAD && !member.id().equals(this.self);
	}

}
