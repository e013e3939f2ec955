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
 * Decides which requests that others left behind this daemon takes over, and when. One
 * daemon is preferred for each request, so that not all try; should two try, the log's
 * order decides. Not safe for use by several threads.
 */
public final class TakeoverPlan implements HolderLiveness {

	private final JournalWriter self;

	private final Duration takeoverAfter;

	private final Map<DaemonId, Instant> silentSince = new HashMap<>();

	private final Set<DaemonId> everSeen = new HashSet<>();

	private final Map<String, Instant> tried = new HashMap<>();

	private Instant now = Instant.MIN;

	private TakeoverPlan(JournalWriter self, Duration takeoverAfter) {
		this.self = Objects.requireNonNull(self, "self must not be null");
		this.takeoverAfter = Objects.requireNonNull(takeoverAfter, "takeoverAfter must not be null");
	}

	/**
	 * Returns a plan that knows nobody.
	 * @param self this process
	 * @param takeoverAfter time without news of a holder after which it is taken to be
	 * gone
	 * @return the plan
	 */
	public static TakeoverPlan create(JournalWriter self, Duration takeoverAfter) {
		return new TakeoverPlan(self, takeoverAfter);
	}

	/**
	 * Returns the requests to act on now. Each is returned again only after some time, if
	 * it is still in flight.
	 * @param active all requests in flight
	 * @param fleet the fleet
	 * @param time the current time
	 * @return the requests whose holder is gone and that this daemon should see to
	 */
	public List<ActiveKey> due(Collection<ActiveKey> active, FleetSnapshot fleet, Instant time) {
		this.now = time;
		observe(active, fleet);
		this.tried.values().removeIf((until) -> !time.isBefore(until));
		List<ActiveKey> due = new ArrayList<>();
		for (ActiveKey held : active) {
			if (isGone(held.holder(), held.boot()) && isPreferred(held, fleet)
					&& this.tried.putIfAbsent(held.token(), time.plus(this.takeoverAfter)) == null) {
				due.add(held);
			}
		}
		return due;
	}

	@Override
	public boolean isGone(DaemonId holder, long boot) {
		if (holder.equals(this.self.daemon())) {
			return boot != this.self.boot();
		}
		Instant since = this.silentSince.get(holder);
		if (since == null) {
			return false;
		}
		Duration patience = (this.everSeen.contains(holder)) ? this.takeoverAfter : this.takeoverAfter.multipliedBy(2);
		return !this.now.isBefore(since.plus(patience));
	}

	private void observe(Collection<ActiveKey> active, FleetSnapshot fleet) {
		Set<DaemonId> heard = new HashSet<>();
		for (Member member : fleet.members()) {
			if (member.status() == MemberStatus.ALIVE || member.status() == MemberStatus.LEAVING) {
				heard.add(member.id());
				this.everSeen.add(member.id());
			}
		}
		this.silentSince.keySet().removeAll(heard);
		for (ActiveKey held : active) {
			if (!heard.contains(held.holder())) {
				this.silentSince.putIfAbsent(held.holder(), this.now);
			}
		}
		for (Member member : fleet.members()) {
			if (!heard.contains(member.id())) {
				this.silentSince.putIfAbsent(member.id(), this.now);
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
