package org.sardineport.core.membership;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.fleet.Member;
import org.sardineport.core.fleet.MemberStatus;
import org.sardineport.core.identity.DaemonId;

/**
 * Chooses the news that go with a message: the sender itself, what is held of the
 * receiver if that is worse than alive, and what is still on its way to all.
 */
final class NewsComposer {

	/** Most members named besides the sender and the receiver. */
	private static final int MAXIMUM_MEMBERS = 8;

	/** Most items of each other kind. */
	private static final int MAXIMUM_OTHERS = 4;

	/** Most members on their way to all; older news give way. */
	private static final int CAPACITY = 4096;

	/** Times that news are passed on, for each doubling of the number of daemons. */
	private static final int TRANSMISSIONS_PER_DOUBLING = 2;

	private final MemberTable table;

	private final SharedNews shared;

	private final BroadcastQueue<DaemonId> members = new BroadcastQueue<>(CAPACITY);

	NewsComposer(MemberTable table, SharedNews shared) {
		this.table = table;
		this.shared = shared;
	}

	void spread(DaemonId id) {
		this.members.add(id);
	}

	void withhold(DaemonId id) {
		this.members.remove(id);
	}

	/**
	 * Composes the news of one message.
	 * @param self the sender
	 * @param receiver the receiver, or {@code null} if it is not known
	 * @param now the current time
	 * @return the news
	 */
	News compose(Member self, @Nullable Peer receiver, Instant now) {
		List<Member> chosen = new ArrayList<>();
		chosen.add(self);
		if (receiver != null && isWorseThanAlive(receiver)) {
			chosen.add(receiver.member());
		}
		int limit = transmissionLimit();
		for (DaemonId id : this.members.take(MAXIMUM_MEMBERS, limit)) {
			Peer about = this.table.peer(id);
			if (about != null && about != receiver) {
				chosen.add(about.member());
			}
		}
		return new News(chosen, this.shared.takeStrikes(MAXIMUM_OTHERS, limit, now),
				this.shared.takeLeaving(MAXIMUM_OTHERS, limit, now));
	}

	private static boolean isWorseThanAlive(Peer peer) {
		return peer.status() == MemberStatus.SUSPECT || peer.status() == MemberStatus.DEAD;
	}

	private int transmissionLimit() {
		int daemons = this.table.peers().size() + 1;
		int doublings = Integer.SIZE - Integer.numberOfLeadingZeros(daemons);
		return TRANSMISSIONS_PER_DOUBLING * doublings;
	}

}
