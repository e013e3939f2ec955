package org.sardineport.core.fleet;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.stream.Stream;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.backend.BackendProcess;
import org.sardineport.core.backend.BackendServer;
import org.sardineport.core.backend.LoadReport;
import org.sardineport.core.identity.BackendServerId;
import org.sardineport.core.port.platform.VmListing;
import org.sardineport.core.port.platform.VmState;

/**
 * Backend servers that may get new work: those that the latest VM listing contains as
 * live, without those that have reported that they are leaving, to this daemon or to
 * another. A backend server is excluded as soon as any source says that it is leaving.
 * Not safe for use by several threads.
 */
public final class BackendDirectory {

	/**
	 * Time for which a backend server's own report that it is leaving is valid, unless it
	 * is repeated. After that the listing alone decides.
	 */
	public static final Duration LEAVING_REPORT_RETENTION = Duration.ofSeconds(60);

	/**
	 * Time after an outage of the VM list's source for which backend servers missing from
	 * the listing stay eligible. Their entries may have lapsed during the outage and are
	 * listed again within this time.
	 */
	public static final Duration OUTAGE_GRACE = Duration.ofMillis(2300);

	private final InstantSource clock;

	private final Map<BackendServerId, Instant> leavingSince = new HashMap<>();

	private final LeavingProcesses leavingProcesses = new LeavingProcesses();

	private final Map<BackendServerId, BackendServer> lapsed = new HashMap<>();

	/** Servers that are listed no more, which an outage explains until it is over. */
	private final Set<BackendServerId> missing = new HashSet<>();

	private @Nullable VmListing listing;

	private boolean outage;

	private Instant failedAt = Instant.MIN;

	private Instant recoveredAt = Instant.MIN;

	/** The eligible backend servers while only the listing decides. */
	private @Nullable List<BackendServer> listedAlone;

	private BackendDirectory(InstantSource clock) {
		this.clock = clock;
	}

	/**
	 * Returns a directory without a listing, in which no backend server is eligible.
	 * @param clock the clock
	 * @return the directory
	 */
	public static BackendDirectory create(InstantSource clock) {
		return new BackendDirectory(Objects.requireNonNull(clock, "clock must not be null"));
	}

	/**
	 * Replaces the listing, unless the new one is older.
	 * @param fetched the new listing
	 * @return whether the listing was replaced
	 */
	public boolean updateListing(VmListing fetched) {
		Objects.requireNonNull(fetched, "fetched must not be null");
		if (this.listing != null && fetched.asOf().isBefore(this.listing.asOf())) {
			return false;
		}
		if (this.outage) {
			this.outage = false;
			this.recoveredAt = recoveryTime(fetched);
		}
		// A source that saw no change returns the list of the former read.
		if (this.listing == null || fetched.backendServers() != this.listing.backendServers()) {
			this.listedAlone = null;
			retainLapsed(fetched);
			removeReportsOfReplacedProcesses(fetched);
			collectMissing(fetched);
		}
		removeReportsOfMissingProcesses();
		this.listing = fetched;
		return true;
	}

	// The source may have been available for a while before the list was fetched again.
	private Instant recoveryTime(VmListing fetched) {
		Instant availableSince = fetched.availableSince();
		if (availableSince == null) {
			return this.clock.instant();
		}
		return availableSince.isAfter(this.failedAt) ? availableSince : this.failedAt;
	}

	/**
	 * Records that the VM list could not be fetched. Backend servers missing from it
	 * right after the outage stay eligible for {@link #OUTAGE_GRACE}, as their entries
	 * may have lapsed meanwhile.
	 */
	public void listingFailed() {
		this.outage = true;
		this.failedAt = this.clock.instant();
	}

	private void retainLapsed(VmListing fetched) {
		fetched.backendServers().forEach((listed) -> this.lapsed.remove(listed.server().id()));
		if (this.listing == null || isGraceOver()) {
			return;
		}
		Set<BackendServerId> present = new HashSet<>();
		fetched.backendServers().forEach((listed) -> present.add(listed.server().id()));
		for (VmListing.ListedBackend former : this.listing.backendServers()) {
			if (former.state() == VmState.LIVE && !present.contains(former.server().id())) {
				this.lapsed.put(former.server().id(), former.server());
			}
		}
	}

	private void removeReportsOfReplacedProcesses(VmListing fetched) {
		if (this.listing == null || (this.leavingSince.isEmpty() && this.leavingProcesses.isEmpty())) {
			return;
		}
		Map<BackendServerId, BackendServer> former = new HashMap<>();
		this.listing.backendServers().forEach((listed) -> former.put(listed.server().id(), listed.server()));
		for (VmListing.ListedBackend listed : fetched.backendServers()) {
			BackendServer known = former.get(listed.server().id());
			if (known != null && listed.server().isRestartOf(known)) {
				this.leavingSince.remove(listed.server().id());
				this.leavingProcesses.restarted(listed.server());
			}
		}
		this.leavingProcesses.dropUnlistedIfMany(fetched);
	}

	private void collectMissing(VmListing fetched) {
		if (this.listing != null) {
			this.listing.backendServers().forEach((listed) -> this.missing.add(listed.server().id()));
		}
		fetched.backendServers().forEach((listed) -> this.missing.remove(listed.server().id()));
	}

	private void removeReportsOfMissingProcesses() {
		if (isGraceOver()) {
			this.missing.forEach(this.leavingProcesses::ended);
			this.missing.clear();
		}
	}

	private boolean isGraceOver() {
		return !this.clock.instant().minus(OUTAGE_GRACE).isBefore(this.recoveredAt);
	}

	/**
	 * Handles a load report of a backend server.
	 * @param report the load report
	 * @return whether it reports for the first time that the backend server is leaving
	 */
	public boolean handleReport(LoadReport report) {
		if (report.leaving()) {
			return this.leavingSince.put(report.backendServer(), this.clock.instant()) == null;
		}
		this.leavingSince.remove(report.backendServer());
		return false;
	}

	/**
	 * Records that a backend server has reported to another daemon that it is leaving.
	 * @param server the backend server
	 * @param age time since that report
	 */
	public void recordLeaving(BackendServerId server, Duration age) {
		Instant reportedAt = this.clock.instant().minus(age);
		this.leavingSince.merge(server, reportedAt, (known, received) -> (received.isAfter(known)) ? received : known);
	}

	/**
	 * Records that a process of a backend server has said that it is leaving. Unlike the
	 * report of a backend server of which only the name is known, this does not expire.
	 * @param process the process
	 * @return whether this was not known
	 */
	public boolean recordLeaving(BackendProcess process) {
		return this.leavingProcesses.add(process);
	}

	/**
	 * Returns the backend servers that may get new work.
	 * @return the listed backend servers in the order of the listing, then those that may
	 * have lapsed in an outage
	 */
	public List<BackendServer> eligible() {
		Instant oldest = this.clock.instant().minus(LEAVING_REPORT_RETENTION);
		this.leavingSince.values().removeIf((reportedAt) -> reportedAt.isBefore(oldest));
		if (this.listing == null) {
			return List.of();
		}
		if (isGraceOver()) {
			this.lapsed.clear();
		}
		if (!this.lapsed.isEmpty() || !this.leavingSince.isEmpty() || !this.leavingProcesses.isEmpty()) {
			return select();
		}
		List<BackendServer> known = this.listedAlone;
		if (known == null) {
			known = select();
			this.listedAlone = known;
		}
		return known;
	}

	/**
	 * Returns whether backend servers are eligible only because of an outage, so that the
	 * eligible ones change by the passing of time.
	 * @return whether {@link #eligible()} must be asked every few tens of milliseconds
	 */
	public boolean isInGrace() {
		return !this.lapsed.isEmpty();
	}

	private List<BackendServer> select() {
		VmListing current = Objects.requireNonNull(this.listing, "listing must be known");
		Stream<BackendServer> live = current.backendServers()
			.stream()
			.filter((listed) -> listed.state() == VmState.LIVE)
			.map(VmListing.ListedBackend::server);
		return Stream.concat(live, this.lapsed.values().stream())
			.filter((server) -> !this.leavingSince.containsKey(server.id()) && !this.leavingProcesses.contains(server))
			.toList();
	}

}
