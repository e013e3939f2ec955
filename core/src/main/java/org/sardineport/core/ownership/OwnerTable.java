package org.sardineport.core.ownership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.backend.BackendServer;
import org.sardineport.core.fleet.Member;
import org.sardineport.core.identity.BackendServerId;
import org.sardineport.core.identity.DaemonId;
import org.sardineport.core.identity.FailureDomain;

/**
 * Owners of backend servers as {@link Ownership} assigns them, kept from one view of the
 * fleet to the next. A daemon that joins is compared with the present owner of each
 * backend server, and one that leaves changes only what it owned, so that a change does
 * not cost the product of backend servers and daemons, unless the daemon with most
 * processor time changes. Not safe for use by several threads.
 */
public final class OwnerTable {

	private final Map<BackendServerId, Entry> entries = new HashMap<>();

	private @Nullable List<Member> members;

	private Map<DaemonId, FailureDomain> eligible = Map.of();

	private List<Member> joined = List.of();

	private Set<DaemonId> left = Set.of();

	private ProcessorSizes sizes = ProcessorSizes.UNKNOWN;

	private long view;

	private long comparisons;

	private OwnerTable() {
	}

	/**
	 * Returns an empty table.
	 * @return the table
	 */
	public static OwnerTable create() {
		return new OwnerTable();
	}

	/**
	 * Returns the owner of a backend server.
	 * @param server the backend server
	 * @param newMembers the known daemons; ineligible ones are ignored. The table
	 * compares them with those of the call before if it is another list
	 * @return the owner, or empty if no daemon is eligible
	 */
	public Optional<DaemonId> owner(BackendServer server, List<Member> newMembers) {
		Objects.requireNonNull(server, "server must not be null");
		if (newMembers != this.members) {
			update(newMembers);
		}
		Entry entry = this.entries.get(server.id());
		if (entry == null || entry.view() < this.view || !entry.isFor(server)) {
			entry = new Entry(server, best(server, entry), this.view);
			this.entries.put(server.id(), entry);
		}
		return Optional.ofNullable(entry.best()).map((best) -> best.member().id());
	}

	private void update(List<Member> newMembers) {
		Map<DaemonId, FailureDomain> next = new HashMap<>();
		List<Member> added = new ArrayList<>();
		for (Member member : newMembers) {
			if (member.status().isEligible()) {
				next.put(member.id(), member.failureDomain());
				if (!member.failureDomain().equals(this.eligible.get(member.id()))) {
					added.add(member);
				}
			}
		}
		Set<DaemonId> removed = new HashSet<>();
		this.eligible.forEach((id, domain) -> {
			if (!domain.equals(next.get(id))) {
				removed.add(id);
			}
		});
		ProcessorSizes newSizes = ProcessorSizes.of(newMembers);
		if (newSizes.equals(this.sizes)) {
			this.entries.values().removeIf((entry) -> entry.view() < this.view);
		}
		else {
			this.entries.clear();
		}
		this.sizes = newSizes;
		this.members = newMembers;
		this.eligible = next;
		this.joined = added;
		this.left = removed;
		this.view++;
	}

	private Ownership.@Nullable Scored best(BackendServer server, @Nullable Entry former) {
		boolean isKept = former != null && former.isFor(server) && former.best() != null
				&& !this.left.contains(former.best().member().id());
		Ownership.Scored best = isKept ? former.best() : null;
		for (Member member : isKept ? this.joined : Objects.requireNonNull(this.members, "members must be set")) {
			if (member.status().isEligible()) {
				this.comparisons++;
				Ownership.Scored candidate = Ownership.scored(server, member, this.sizes);
				best = (best == null || Ownership.Scored.ORDER.compare(candidate, best) < 0) ? candidate : best;
			}
		}
		return best;
	}

	/**
	 * Returns how many pairs of a backend server and a daemon were compared.
	 * @return the number since creation
	 */
	long comparisons() {
		return this.comparisons;
	}

	/**
	 * The owner of one backend server.
	 *
	 * @param server the backend server
	 * @param best its owner, or {@code null} if no daemon is eligible
	 * @param view number of the view of the fleet for which that holds
	 */
	private record Entry(BackendServer server, Ownership.@Nullable Scored best, long view) {

		private boolean isFor(BackendServer other) {
			return this.server.failureDomain().equals(other.failureDomain());
		}

	}

}
