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
import org.sardineport.core.backend.BackendServer;
import org.sardineport.core.backend.LoadReport;
import org.sardineport.core.identity.BackendServerId;
import org.sardineport.core.port.platform.VmListing;
import org.sardineport.core.port.platform.VmState;

/**
 * Backend servers that may get new work: those that the newest list names as live, less
 * those that said of themselves that they leave. Whichever says so first counts. Not safe
 * for use by several threads.
 */
public final class BackendDirectory {

	/**
	 * Time for which a backend server's own word counts, if it is not repeated, after
	 * which the list alone decides.
	 */
	public static final Duration OWN_WORD_RETENTION = Duration.ofSeconds(60);

	/**
	 * Time after an outage of the list within which backend servers whose entries lapsed
	 * meanwhile are listed again.
	 */
	public static final Duration RETURN_GRACE = Duration.ofMillis(2300);

	private final InstantSource clock;

	private final Map<BackendServerId, Instant> leavingSince = new HashMap<>();

	private final Map<BackendServerId, BackendServer> lapsed = new HashMap<>();

	private @Nullable VmListing listing;

	private boolean outage;

	private Instant returnedAt = Instant.MIN;

	private BackendDirectory(InstantSource clock) {
		this.clock = clock;
	}

	/**
	 * Returns a directory without a list.
	 * @param clock the clock
	 * @return the directory
	 */
	public static BackendDirectory create(InstantSource clock) {
		return new BackendDirectory(Objects.requireNonNull(clock, "clock must not be null"));
	}

	/**
	 * Takes a list, unless it is older than the one held.
	 * @param fetched the list
	 * @return whether it was taken
	 */
	public boolean listed(VmListing fetched) {
		Objects.requireNonNull(fetched, "fetched must not be null");
		if (this.listing != null && fetched.asOf().isBefore(this.listing.asOf())) {
			return false;
		}
		if (this.outage) {
			this.outage = false;
			this.returnedAt = this.clock.instant();
		}
		keepLapsed(fetched);
		forgetWordsOfFormerProcesses(fetched);
		this.listing = fetched;
		return true;
	}

	/**
	 * Notes that the list could not be fetched. Entries that are missing right after it
	 * is back may have lapsed in the outage, and are kept for a while.
	 */
	public void unreachable() {
		this.outage = true;
	}

	private void keepLapsed(VmListing fetched) {
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

	private void forgetWordsOfFormerProcesses(VmListing fetched) {
		if (this.listing == null || this.leavingSince.isEmpty()) {
			return;
		}
		Map<BackendServerId, BackendServer> former = new HashMap<>();
		this.listing.backendServers().forEach((listed) -> former.put(listed.server().id(), listed.server()));
		for (VmListing.ListedBackend listed : fetched.backendServers()) {
			BackendServer known = former.get(listed.server().id());
			if (known != null && listed.server().isRestartOf(known)) {
				this.leavingSince.remove(listed.server().id());
			}
		}
	}

	private boolean isGraceOver() {
		return !this.clock.instant().minus(RETURN_GRACE).isBefore(this.returnedAt);
	}

	/**
	 * Takes what a backend server reports of itself.
	 * @param report the report
	 * @return whether it is news that the backend server leaves
	 */
	public boolean reported(LoadReport report) {
		if (report.leaving()) {
			return this.leavingSince.put(report.backendServer(), this.clock.instant()) == null;
		}
		this.leavingSince.remove(report.backendServer());
		return false;
	}

	/**
	 * Takes what another daemon heard of a backend server.
	 * @param server the backend server, which said that it leaves
	 * @param age time since it said so
	 */
	public void leavingHeard(BackendServerId server, Duration age) {
		Instant said = this.clock.instant().minus(age);
		this.leavingSince.merge(server, said, (held, heard) -> (heard.isAfter(held)) ? heard : held);
	}

	/**
	 * Returns the backend servers that may get new work.
	 * @return the backend servers in the order of the list, then those that may have
	 * lapsed
	 */
	public List<BackendServer> eligible() {
		Instant oldest = this.clock.instant().minus(OWN_WORD_RETENTION);
		this.leavingSince.values().removeIf((said) -> said.isBefore(oldest));
		if (this.listing == null) {
			return List.of();
		}
		if (isGraceOver()) {
			this.lapsed.clear();
		}
		Stream<BackendServer> live = this.listing.backendServers()
			.stream()
			.filter((listed) -> listed.state() == VmState.LIVE)
			.map(VmListing.ListedBackend::server);
		return Stream.concat(live, this.lapsed.values().stream())
			.filter((server) -> !this.leavingSince.containsKey(server.id()))
			.toList();
	}

}
