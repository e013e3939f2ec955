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
import org.sardineport.core.fleet.FleetSnapshot;
import org.sardineport.core.fleet.Member;
import org.sardineport.core.fleet.MemberStatus;
import org.sardineport.core.identity.BackendServerId;
import org.sardineport.core.identity.DaemonId;
import org.sardineport.core.identity.FailureDomain;
import org.sardineport.core.identity.OrganisationId;
import org.sardineport.core.identity.PoolName;
import org.sardineport.core.ownership.Ownership;
import org.sardineport.core.routing.PoolRouter;
import org.sardineport.core.routing.ServerView;

/**
 * Backend servers by pool and their owners, as the newest view of the fleet tells. Not
 * safe for use by several threads.
 */
final class PoolDirectory {

	/** Age up to which a daemon counts as just started, in milliseconds. */
	private static final long NEW_FLEET_MILLIS = 6000;

	/** Time for which the share of a silent daemon is kept for it. */
	private static final long SILENT_SHARE_MILLIS = 30_000;

	/** Time lost on the way to another daemon and back, in milliseconds. */
	private static final double OWNER_MILLIS = 1;

	/** Time lost on the way to another failure domain and back, in milliseconds. */
	private static final double DOMAIN_MILLIS = 3;

	private final DaemonId self;

	private final OwnerLookup ownerLookup;

	private final EngineAssumptions assumptions;

	private final RandomGenerator random;

	private final Map<BackendServerId, ServerView> views = new LinkedHashMap<>();

	private final Map<PoolName, PoolRouter> routers = new HashMap<>();

	private final Map<OrganisationId, DaemonId> quotaOwners = new HashMap<>();

	private final Map<DaemonId, Long> sharersUntil = new HashMap<>();

	private boolean fleetNew;

	private List<Member> eligible = List.of();

	private Set<DaemonId> present = Set.of();

	private List<BackendServer> servers = List.of();

	PoolDirectory(DaemonId self, OwnerLookup ownerLookup, EngineAssumptions assumptions, RandomGenerator random) {
		this.assumptions = assumptions;
		this.self = self;
		this.ownerLookup = ownerLookup;
		this.random = random;
	}

	/**
	 * Takes a new view of the fleet.
	 * @param fleet the view
	 * @param now the current time in milliseconds
	 * @return whether owners or backend servers may have changed
	 */
	boolean update(FleetSnapshot fleet, long now) {
		List<Member> newEligible = fleet.members().stream().filter((member) -> member.status().isEligible()).toList();
		this.present = new HashSet<>();
		fleet.members().stream().filter((member) -> isPresent(member)).map(Member::id).forEach(this.present::add);
		this.present.add(this.self);
		countSharers(fleet, now);
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
		rebuild(fleet);
		return true;
	}

	// A daemon that fell silent may be cut off and go on spending its share. One that
	// announced its stop gives it back at once.
	private void countSharers(FleetSnapshot fleet, long now) {
		for (Member member : fleet.members()) {
			if (member.status().isEligible()) {
				this.sharersUntil.put(member.id(), now + SILENT_SHARE_MILLIS);
			}
			else if (member.status() == MemberStatus.LEAVING) {
				this.sharersUntil.remove(member.id());
			}
		}
		this.sharersUntil.values().removeIf((until) -> until <= now);
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

	private void rebuild(FleetSnapshot fleet) {
		Map<BackendServerId, ServerView> old = new HashMap<>(this.views);
		this.views.clear();
		this.routers.clear();
		FailureDomain domain = fleet.member(this.self).map(Member::failureDomain).orElse(null);
		Map<PoolName, List<ServerView>> pools = new LinkedHashMap<>();
		for (BackendServer server : this.servers) {
			DaemonId owner = owner(server);
			ServerView view = old.get(server.id());
			if (view == null || !view.server().equals(server)) {
				view = ServerView.of(server);
			}
			double domainMillis = (server.failureDomain().equals(domain)) ? 0 : DOMAIN_MILLIS;
			view.ownedBy(owner, domainMillis + ((this.self.equals(owner)) ? 0 : OWNER_MILLIS));
			this.views.put(server.id(), view);
			pools.computeIfAbsent(server.pool(), (pool) -> new ArrayList<>()).add(view);
		}
		pools.forEach((pool, members) -> this.routers.put(pool,
				PoolRouter.assuming(this.assumptions.homeHitShare(), members, owned(members), this.random)));
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
	 * Returns whether all daemons have just started, as after a loss of all of them. An
	 * incarnation is the time of a daemon's start.
	 * @return whether no daemon can have runs of former times
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
	 * Returns the daemons whose requests may still run.
	 * @return all that are not taken to be dead
	 */
	Set<DaemonId> present() {
		return this.present;
	}

	/**
	 * Returns how many daemons share a limit.
	 * @return the number, at least 1
	 */
	int sharers() {
		return Math.max(1, Math.max(this.eligible.size(), this.sharersUntil.size()));
	}

	/**
	 * Returns the part of a fleet-wide limit that the daemons in touch may use, so that
	 * those out of touch can use theirs.
	 * @param limit the fleet-wide limit
	 * @return the part
	 */
	long shareInReach(long limit) {
		return limit * Math.max(1, this.eligible.size()) / sharers();
	}

	DaemonId quotaOwner(OrganisationId organisation) {
		return this.quotaOwners.computeIfAbsent(organisation,
				(key) -> Ownership.ownerOfKey(key.value(), this.eligible).map(Member::id).orElse(this.self));
	}

}
