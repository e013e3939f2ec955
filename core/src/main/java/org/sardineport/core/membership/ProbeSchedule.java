package org.sardineport.core.membership;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.random.RandomGenerator;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.identity.DaemonId;

/**
 * Selects the daemons to probe. Probes alternate between the successor on the ring, which
 * bounds the detection time, and the next daemon of a shuffled list of all, which detects
 * failures that the ring misses when several neighbours fail together.
 */
final class ProbeSchedule {

	private final MemberTable table;

	private final RandomGenerator random;

	private final Deque<DaemonId> shuffled = new ArrayDeque<>();

	private boolean successorNext = true;

	ProbeSchedule(MemberTable table, RandomGenerator random) {
		this.table = table;
		this.random = random;
	}

	/**
	 * Selects the next daemon to probe.
	 * @return the daemon, or {@code null} if no other member is present
	 */
	@Nullable Peer next() {
		Peer successor = (this.successorNext) ? this.table.ringSuccessor() : null;
		this.successorNext = !this.successorNext;
		return (successor != null) ? successor : nextShuffled();
	}

	private @Nullable Peer nextShuffled() {
		Peer peer = pollPresent();
		if (peer == null) {
			refill();
			peer = pollPresent();
		}
		return peer;
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
	 * Selects daemons at random, without repetition.
	 * @param candidates the daemons to select from; the list is reordered in place
	 * @param maximum maximum number of daemons to select
	 * @return the selected daemons in random order
	 */
	List<Peer> sample(List<Peer> candidates, int maximum) {
		int count = Math.min(maximum, candidates.size());
		for (int i = 0; i < count; i++) {
			int other = this.random.nextInt(i, candidates.size());
			Peer swapped = candidates.get(i);
			candidates.set(i, candidates.get(other));
			candidates.set(other, swapped);
		}
		return new ArrayList<>(candidates.subList(0, count));
	}

}
