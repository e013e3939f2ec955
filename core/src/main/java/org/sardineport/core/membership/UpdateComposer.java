package org.sardineport.core.membership;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.fleet.Member;
import org.sardineport.core.fleet.MemberStatus;
import org.sardineport.core.identity.DaemonId;

/**
 * Selects the updates that travel with a message: the state of the sender, the state of
 * the receiver if it is suspected or dead, so that it can refute it, and the updates that
 * are still being broadcast.
 */
final class UpdateComposer {

	/** Maximum number of members besides the sender and the receiver. */
	private static final int MAX_MEMBERS = 8;

	/**
	 * Maximum number of strikes. All requests that ran on a process that crashed get one,
	 * and so do the parts of their prompts that are not known to be sound.
	 */
	private static final int MAX_STRIKES = 16;

	/** Maximum number of leaving backend servers. */
	private static final int MAX_LEAVING = 4;

	/** Maximum number of members being broadcast; the oldest is dropped first. */
	private static final int MEMBER_QUEUE_CAPACITY = 4096;

	/**
	 * Number of times that an update is sent, for each doubling of the number of daemons:
	 * gossip reaches all members in a number of rounds that grows with the logarithm of
	 * their number.
	 */
	private static final int TRANSMISSIONS_PER_DOUBLING = 2;

	private final MemberTable table;

	private final BackendUpdates backendUpdates;

	private final BroadcastQueue<DaemonId> memberQueue = new BroadcastQueue<>(MEMBER_QUEUE_CAPACITY);

	UpdateComposer(MemberTable table, BackendUpdates backendUpdates) {
		this.table = table;
		this.backendUpdates = backendUpdates;
	}

	void broadcast(DaemonId id) {
		this.memberQueue.add(id);
	}

	void cancelBroadcast(DaemonId id) {
		this.memberQueue.remove(id);
	}

	/**
	 * Composes the updates of one message.
	 * @param self the sender
	 * @param receiver the receiver, or {@code null} if it is not in the member table
	 * @param now the current time
	 * @return the updates, the sender first
	 */
	GossipUpdates compose(Member self, @Nullable Peer receiver, Instant now) {
		List<Member> selected = new ArrayList<>();
		selected.add(self);
		if (receiver != null && isSuspectOrDead(receiver)) {
			selected.add(receiver.member());
		}
		int maxTransmissions = transmissionLimit();
		for (DaemonId id : this.memberQueue.take(MAX_MEMBERS, maxTransmissions)) {
			Peer peer = this.table.peer(id);
			if (peer != null && peer != receiver) {
				selected.add(peer.member());
			}
		}
		return new GossipUpdates(selected, this.backendUpdates.takeStrikes(MAX_STRIKES, maxTransmissions, now),
				this.backendUpdates.takeLeaving(MAX_LEAVING, maxTransmissions, now));
	}

	private static boolean isSuspectOrDead(Peer peer) {
		return peer.status() == MemberStatus.SUSPECT || peer.status() == MemberStatus.DEAD;
	}

	private int transmissionLimit() {
		int daemons = this.table.peers().size() + 1;
		int doublings = Integer.SIZE - Integer.numberOfLeadingZeros(daemons);
		return TRANSMISSIONS_PER_DOUBLING * doublings;
	}

}
