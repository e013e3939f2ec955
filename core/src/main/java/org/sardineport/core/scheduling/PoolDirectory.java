package org.sardineport.core.scheduling;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.backend.BackendServer;
import org.sardineport.core.backend.SoftwareVersion;
import org.sardineport.core.fleet.FleetSnapshot;
import org.sardineport.core.fleet.Member;
import org.sardineport.core.fleet.MemberStatus;
import org.sardineport.core.identity.BackendServerId;
import org.sardineport.core.identity.DaemonId;
import org.sardineport.core.identity.FailureDomain;
import org.sardineport.core.identity.OrganisationId;
import org.sardineport.core.identity.PoolName;
import org.sardineport.core.ownership.Ownership;
import org.sardineport.core.rollout.VersionGate;
import org.sardineport.core.rollout.VersionGates;
import org.sardineport.core.routing.PoolMembers;
import org.sardineport.core.routing.PoolRouter;
import org.sardineport.core.routing.ReplyTime;
import org.sardineport.core.routing.ServerView;

/**
 * Directory of the backend servers of each pool and their owners, according to the latest
 * view of the fleet. Also counts the daemons that share fleet-wide limits. Not
 * thread-safe.
 */
final class PoolDirectory {

	/** Maximum age of a daemon that counts as just started, in milliseconds. */
	private static final long NEW_FLEET_MILLIS = 6000;

	/** Time for which the share of an unreachable daemon is reserved, in milliseconds. */
	private static final long LOST_MEMBER_SHARE_MILLIS = 30_000;

	/** Estimated round-trip time to another daemon, in milliseconds. */
	private static final double OWNER_ROUND_TRIP_MILLIS = 1;

	/**
	 * Estimated additional round-trip time to another failure domain, in milliseconds.
	 */
	private static final double CROSS_DOMAIN_ROUND_TRIP_MILLIS = 3;

	private final DaemonId self;

	private final OwnerLookup ownerLookup;

	private final EngineAssumptions assumptions;

	private final RandomGenerator random;

	private final Map<BackendServerId, ServerView> views = new LinkedHashMap<>();

	private final Map<PoolName, PoolRouter> routers = new HashMap<>();

	private final Map<OrganisationId, DaemonId> quotaOwners = new HashMap<>();

	private final Map<DaemonId, ReplyTime> replyTimes = new HashMap<>();

	private final Map<DaemonId, Long> shareHeldUntil = new HashMap<>();

	private boolean fleetNew;

	private List<Member> eligible = List.of();

	private Set<DaemonId> presentDaemons = Set.of();

	private List<BackendServer> servers = List.of();

	private @Nullable FailureDomain domain;

	private VersionGates gates = VersionGates.NONE;

	PoolDirectory(DaemonId self, OwnerLookup ownerLookup, EngineAssumptions assumptions, RandomGenerator random) {
		this.assumptions = assumptions;
		this.self = self;
		this.ownerLookup = ownerLookup;
		this.random = random;
	}

	/**
	 * Applies a new view of the fleet.
	 * @param fleet the view
	 * @param now the current time in milliseconds
	 * @return whether owners or backend servers may have changed
	 */
	boolean update(FleetSnapshot fleet, long now) {
		List<Member> newEligible = fleet.members().stream().filter((member) -> member.status().isEligible()).toList();
		this.presentDaemons = new HashSet<>();
		fleet.members()
			.stream()
			.filter((member) -> isPresent(member))
			.map(Member::id)
			.forEach(this.presentDaemons::add);
		this.presentDaemons.add(this.self);
		updateSharers(fleet, now);
		this.fleetNew = fleet.members()
			.stream()
			.filter(PoolDirectory::isPresent)
			.allMatch((member) -> member.incarnation() > now - NEW_FLEET_MILLIS);
		if (ids(newEligible).equals(ids(this.eligible)) && fleet.backendServers().equals(this.servers)) {
			return false;
		}
		this.eligible = newEligible;
		this.servers = fleet.backendServers();
		this.quotaOwners.clear();
		this.domain = fleet.member(this.self).map(Member::failureDomain).orElse(null);
		rebuild();
		return true;
	}

	/**
	 * Applies new gates for software versions.
	 * @param newGates which versions take new work
	 */
	void applyGates(VersionGates newGates) {
		this.gates = newGates;
		rebuild();
	}

	/**
	 * Returns whether a backend server takes a request.
	 * @param server the backend server
	 * @param required software version that the request is bound to, or {@code null}
	 * @return whether the gate of its pool is open
	 */
	boolean takes(BackendServer server, @Nullable SoftwareVersion required) {
		return this.gates.of(server.pool()).takes(server.softwareVersion(), required);
	}

	// An unreachable daemon may be partitioned and still spend its share. A daemon that
	// announces its stop returns its share at once.
	private void updateSharers(FleetSnapshot fleet, long now) {
		for (Member member : fleet.members()) {
			if (member.status().isEligible()) {
				this.shareHeldUntil.put(member.id(), now + LOST_MEMBER_SHARE_MILLIS);
			}
			else if (member.status() == MemberStatus.LEAVING) {
				this.shareHeldUntil.remove(member.id());
			}
		}
		this.shareHeldUntil.values().removeIf((until) -> until <= now);
	}

	private static boolean isPresent(Member member) {
		return switch (member.status()) {
			case ALIVE, SUSPECT, LEAVING -> true;
			case DEAD -> false;
		};
	}

	private static List<DaemonId> ids(List<Member> members) {
		return members.stream().map(Member::id).toList();
	}

	private void rebuild() {
		Map<BackendServerId, ServerView> old = new HashMap<>(this.views);
		Map<PoolName, PoolRouter> oldRouters = new HashMap<>(this.routers);
		this.views.clear();
		this.routers.clear();
		this.replyTimes.keySet().retainAll(this.presentDaemons);
		Map<PoolName, List<ServerView>> pools = new LinkedHashMap<>();
		for (BackendServer server : this.servers) {
			DaemonId owner = owner(server);
			ServerView view = old.get(server.id());
			if (view == null || !view.server().equals(server)) {
				view = ServerView.of(server);
			}
			double domainMillis = (server.failureDomain().equals(this.domain)) ? 0 : CROSS_DOMAIN_ROUND_TRIP_MILLIS;
			view.setOwner(owner, domainMillis + ((this.self.equals(owner)) ? 0 : OWNER_ROUND_TRIP_MILLIS),
					this.replyTimes.computeIfAbsent(owner, (id) -> ReplyTime.create()));
			this.views.put(server.id(), view);
			pools.computeIfAbsent(server.pool(), (pool) -> new ArrayList<>()).add(view);
		}
		pools
			.forEach((pool, views) -> this.routers.put(pool, router(oldRouters.get(pool), views, this.gates.of(pool))));
	}

	private PoolRouter router(@Nullable PoolRouter former, List<ServerView> views, VersionGate gate) {
		List<ServerView> owned = owned(views);
		PoolMembers members = GatedMembers.of(views, gate);
		return (former != null && former.isFor(members)) ? former.withOwned(owned)
				: PoolRouter.withHitRatio(this.assumptions.homeHitShare(), members, owned, this.random);
	}

	private DaemonId owner(BackendServer server) {
		return this.ownerLookup.owner(server, this.eligible).orElse(this.self);
	}

	private List<ServerView> owned(List<ServerView> members) {
		return members.stream().filter((view) -> this.self.equals(view.owner())).toList();
	}

	@Nullable ServerView view(BackendServerId id) {
		return this.views.get(id);
	}

	@Nullable PoolRouter router(PoolName pool) {
		return this.routers.get(pool);
	}

	List<BackendServer> owned() {
		return this.views.values()
			.stream()
			.filter((view) -> this.self.equals(view.owner()))
			.map(ServerView::server)
			.toList();
	}

	/**
	 * Returns whether all daemons have just started, as after a failure of the whole
	 * fleet. An incarnation is the start time of a daemon.
	 * @return whether no daemon can have runs from before
	 */
	boolean isFleetNew() {
		return this.fleetNew;
	}

	boolean isOwner(BackendServerId id) {
		return isOwner(this.self, id);
	}

	boolean isOwner(DaemonId daemon, BackendServerId id) {
		ServerView view = this.views.get(id);
		return view != null && daemon.equals(view.owner());
	}

	/**
	 * Returns the daemons whose requests may still be running.
	 * @return all daemons not considered dead, this one included
	 */
	Set<DaemonId> presentDaemons() {
		return this.presentDaemons;
	}

	/**
	 * Returns how many daemons share a fleet-wide limit.
	 * @return the number, at least 1
	 */
	int sharers() {
		return Math.max(1, Math.max(this.eligible.size(), this.shareHeldUntil.size()));
	}

	/**
	 * Returns the part of a fleet-wide limit available to the reachable daemons. The rest
	 * is reserved for unreachable daemons that may still be spending their shares.
	 * @param limit the fleet-wide limit
	 * @return the available part, in the unit of the limit
	 */
	long reachableShare(long limit) {
		return limit * Math.max(1, this.eligible.size()) / sharers();
	}

	DaemonId quotaOwner(OrganisationId organisation) {
		return this.quotaOwners.computeIfAbsent(organisation,
				(key) -> Ownership.ownerOfKey(key.value(), this.eligible).map(Member::id).orElse(this.self));
	}

}
