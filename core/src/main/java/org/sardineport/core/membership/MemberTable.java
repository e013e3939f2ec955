package org.sardineport.core.membership;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;

import com.dynatrace.hash4j.hashing.Hashing;
import org.jspecify.annotations.Nullable;
import org.sardineport.core.fleet.Member;
import org.sardineport.core.fleet.MemberStatus;
import org.sardineport.core.identity.DaemonId;

/**
 * The other daemons of the region. An update about a daemon supersedes its known state if
 * its incarnation is greater or, with the same incarnation, its status is more severe.
 */
final class MemberTable {

	/**
	 * Time for which a dead daemon is remembered, so that late updates do not revive it.
	 */
	static final Duration DEAD_RETENTION = Duration.ofMinutes(10);

	private final DaemonId self;

	private final Map<DaemonId, Peer> peers = new LinkedHashMap<>();

	private final NavigableMap<RingPosition, Peer> ring = new TreeMap<>();

	MemberTable(DaemonId self) {
		this.self = self;
	}

	/**
	 * Applies an update about another daemon.
	 * @param update the update received
	 * @param direct whether the daemon itself sent it
	 * @param now the current time
	 * @return the change that the update caused
	 */
	Change apply(Member update, boolean direct, Instant now) {
		Peer known = this.peers.get(update.id());
		if (known == null) {
			add(update, now);
			return (update.status() != MemberStatus.DEAD) ? Change.JOINED : Change.NONE;
		}
		if (!supersedes(update, known.member())) {
			if (update.incarnation() == known.member().incarnation()) {
				known.refresh(update, direct);
			}
			return Change.NONE;
		}
		MemberStatus before = known.status();
		known.replace(update, now);
		return Change.between(before, update.status());
	}

	private void add(Member member, Instant now) {
		Peer peer = new Peer(member, now);
		this.peers.put(member.id(), peer);
		this.ring.put(RingPosition.of(member.id()), peer);
	}

	private static boolean supersedes(Member update, Member known) {
		if (update.incarnation() != known.incarnation()) {
			return update.incarnation() > known.incarnation();
		}
		return update.status().ordinal() > known.status().ordinal();
	}

	@Nullable Peer peer(DaemonId id) {
		return this.peers.get(id);
	}

	Collection<Peer> peers() {
		return Collections.unmodifiableCollection(this.peers.values());
	}

	/**
	 * Returns the daemons that are not dead.
	 * @return a new list in no particular order
	 */
	List<Peer> present() {
		List<Peer> present = new ArrayList<>(this.peers.size());
		for (Peer peer : this.peers.values()) {
			if (peer.isPresent()) {
				present.add(peer);
			}
		}
		return present;
	}

	/**
	 * Returns the daemon that this one is responsible for probing: the next one on the
	 * ring that is neither dead nor suspected.
	 * @return the daemon, or {@code null} if there is none
	 */
	@Nullable Peer ringSuccessor() {
		RingPosition own = RingPosition.of(this.self);
		Peer after = firstUnsuspected(this.ring.tailMap(own, false).values());
		return (after != null) ? after : firstUnsuspected(this.ring.headMap(own, false).values());
	}

	private static @Nullable Peer firstUnsuspected(Collection<Peer> peers) {
		for (Peer peer : peers) {
			if (peer.isPresent() && peer.suspectedAt() == null) {
				return peer;
			}
		}
		return null;
	}

	/**
	 * Removes daemons that have been dead for longer than the retention time.
	 * @param now the current time
	 */
	void removeExpiredDead(Instant now) {
		Instant oldest = now.minus(DEAD_RETENTION);
		this.ring.values().removeIf((peer) -> !peer.isPresent() && peer.statusSince().isBefore(oldest));
		this.peers.values().removeIf((peer) -> !peer.isPresent() && peer.statusSince().isBefore(oldest));
	}

	/**
	 * Change that an update caused.
	 */
	enum Change {

		/** Nothing that needs to be broadcast. */
		NONE(null),

		/** A daemon became known, or is alive again after its death. */
		JOINED(MembershipEvent.JOINED),

		/** A daemon is suspected now. */
		SUSPECTED(MembershipEvent.SUSPECTED),

		/** A suspected daemon turned out to be alive. */
		CLEARED(MembershipEvent.CLEARED),

		/** A daemon is leaving now. */
		LEAVING(MembershipEvent.LEAVING),

		/** A daemon is dead now. */
		DIED(MembershipEvent.DIED),

		/** A daemon has a new incarnation in the same status. */
		RENEWED(null);

		private final @Nullable MembershipEvent event;

		Change(@Nullable MembershipEvent event) {
			this.event = event;
		}

		boolean isUrgent() {
			return this == LEAVING || this == DIED;
		}

		@Nullable MembershipEvent event() {
			return this.event;
		}

		private static Change between(MemberStatus before, MemberStatus after) {
			if (before == after) {
				return RENEWED;
			}
			if (before == MemberStatus.DEAD) {
				return JOINED;
			}
			return switch (after) {
				case ALIVE -> CLEARED;
				case SUSPECT -> SUSPECTED;
				case LEAVING -> LEAVING;
				case DEAD -> DIED;
			};
		}

	}

	/**
	 * Position of a daemon on the ring that assigns each daemon the one that it probes.
	 *
	 * @param hash hash of its name, unsigned
	 * @param id its name
	 */
	private record RingPosition(long hash, DaemonId id) implements Comparable<RingPosition> {

		private static final Comparator<RingPosition> ORDER = Comparator
			.comparing(RingPosition::hash, Long::compareUnsigned)
			.thenComparing(RingPosition::id);

		private static RingPosition of(DaemonId id) {
			return new RingPosition(Hashing.komihash5_0().hashCharsToLong(id.value()), id);
		}

		@Override
		public int compareTo(RingPosition other) {
			return ORDER.compare(this, other);
		}

	}

}
