package org.sardineport.core.journal;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

import com.dynatrace.hash4j.hashing.Hashing;
import org.sardineport.core.fleet.FleetSnapshot;
import org.sardineport.core.fleet.Member;
import org.sardineport.core.fleet.MemberStatus;
import org.sardineport.core.identity.DaemonId;

/**
 * Decides which requests of failed daemons this daemon takes over, and when. Rendezvous
 * hashing selects one daemon for each request to avoid competing attempts; if two daemons
 * try, the log order decides. Not thread-safe.
 */
public final class TakeoverPlan implements HolderLiveness {

	private final JournalWriter self;

	private final Duration takeoverAfter;

	private final Map<DaemonId, Instant> unreachableSince = new HashMap<>();

	private final Set<DaemonId> everSeen = new HashSet<>();

	private final Map<String, Instant> retryAt = new HashMap<>();

	private Instant now = Instant.MIN;

	private TakeoverPlan(JournalWriter self, Duration takeoverAfter) {
		this.self = Objects.requireNonNull(self, "self must not be null");
		this.takeoverAfter = Objects.requireNonNull(takeoverAfter, "takeoverAfter must not be null");
	}

	/**
	 * Returns a plan that has observed no daemons yet.
	 * @param self identity of this process
	 * @param takeoverAfter time for which a holder must be neither alive nor leaving in
	 * the fleet before it counts as failed; doubled for a holder that was never seen
	 * @return the plan
	 */
	public static TakeoverPlan create(JournalWriter self, Duration takeoverAfter) {
		return new TakeoverPlan(self, takeoverAfter);
	}

	/**
	 * Returns the requests to take over now. A request that stays in flight is returned
	 * again after the takeover time at the earliest.
	 * @param active all requests in flight
	 * @param fleet current members of the fleet
	 * @param time the current time
	 * @return the requests whose holder has failed and for which this daemon is selected
	 */
	public List<ActiveKey> due(Collection<ActiveKey> active, FleetSnapshot fleet, Instant time) {
		this.now = time;
		observe(active, fleet);
		this.retryAt.values().removeIf((until) -> !time.isBefore(until));
		List<ActiveKey> due = new ArrayList<>();
		for (ActiveKey held : active) {
			if (isFailed(held.holder(), held.boot()) && isPreferred(held, fleet)
					&& this.retryAt.putIfAbsent(held.token(), time.plus(this.takeoverAfter)) == null) {
				due.add(held);
			}
		}
		return due;
	}

	@Override
	public boolean isFailed(DaemonId holder, long boot) {
		if (holder.equals(this.self.daemon())) {
			return boot != this.self.boot();
		}
		Instant since = this.unreachableSince.get(holder);
		if (since == null) {
			return false;
		}
		Duration timeout = (this.everSeen.contains(holder)) ? this.takeoverAfter : this.takeoverAfter.multipliedBy(2);
		return !this.now.isBefore(since.plus(timeout));
	}

	private void observe(Collection<ActiveKey> active, FleetSnapshot fleet) {
		Set<DaemonId> reachable = new HashSet<>();
		for (Member member : fleet.members()) {
			if (member.status() == MemberStatus.ALIVE || member.status() == MemberStatus.LEAVING) {
				reachable.add(member.id());
				this.everSeen.add(member.id());
			}
		}
		this.unreachableSince.keySet().removeAll(reachable);
		for (ActiveKey held : active) {
			if (!reachable.contains(held.holder())) {
				this.unreachableSince.putIfAbsent(held.holder(), this.now);
			}
		}
		for (Member member : fleet.members()) {
			if (!reachable.contains(member.id())) {
				this.unreachableSince.putIfAbsent(member.id(), this.now);
			}
		}
	}

	private boolean isPreferred(ActiveKey held, FleetSnapshot fleet) {
		DaemonId own = this.self.daemon();
		if (held.holder().equals(own)) {
			return true;
		}
		long ownScore = score(own, held);
		return fleet.members()
			.stream()
			.filter((member) -> member.status().isEligible() && !member.id().equals(own))
			.noneMatch((member) -> Long.compareUnsigned(score(member.id(), held), ownScore) > 0);
	}

	private static long score(DaemonId daemon, ActiveKey held) {
		return Hashing.komihash5_0().hashCharsToLong(daemon.value() + '\n' + held.token());
	}

}
