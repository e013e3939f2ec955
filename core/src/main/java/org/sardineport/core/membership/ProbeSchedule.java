package org.sardineport.core.membership;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.random.RandomGenerator;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.identity.DaemonId;

/**
 * Chooses whom to probe: in turn the daemon watched over on the ring, which bounds the
 * time to detection, and one from a shuffled list of all, which finds what the ring
 * misses when several neighbours fail together.
 */
final class ProbeSchedule {

	private final MemberTable table;

	private final RandomGenerator random;

	private final Deque<DaemonId> shuffled = new ArrayDeque<>();

	private boolean watchedNext = true;

	ProbeSchedule(MemberTable table, RandomGenerator random) {
		this.table = table;
		this.random = random;
	}

	/**
	 * Chooses the next daemon to probe.
	 * @return the daemon, or {@code null} if nobody else is there
	 */
	@Nullable Peer next() {
		Peer watched = (this.watchedNext) ? this.table.watched() : null;
		this.watchedNext = !this.watchedNext;
		return (watched != null) ? watched : nextShuffled();
	}

	private @Nullable Peer nextShuffled() {
		Peer found = pollPresent();
		if (found == null) {
			refill();
			found = pollPresent();
		}
		return found;
	}

	private @Nullable Peer pollPresent() {
		DaemonId id = this.shuffled.poll();
		while (id != null) {
			Peer peer = this.table.peer(id);
			if (peer != null && peer.isPresent()) {
				return peer;
			}
			id = this.shuffled.poll();
		}
		return null;
	}

	private void refill() {
		List<Peer> present = sample(this.table.present(), Integer.MAX_VALUE);
		present.forEach((peer) -> this.shuffled.add(peer.member().id()));
	}

	/**
	 * Chooses some daemons at random.
	 * @param from where to choose; its order is changed
	 * @param maximum most daemons to choose
	 * @return the daemons in random order
	 */
	List<Peer> sample(List<Peer> from, int maximum) {
		int count = Math.min(maximum, from.size());
		for (int i = 0; i < count; i++) {
			int other = this.random.nextInt(i, from.size());
			Peer swapped = from.get(i);
			from.set(i, from.get(other));
			from.set(other, swapped);
		}
		return new ArrayList<>(from.subList(0, count));
	}

}
