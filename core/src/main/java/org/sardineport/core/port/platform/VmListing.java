package org.sardineport.core.port.platform;

import java.time.Instant;
import java.util.List;
import java.util.Objects;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.backend.BackendServer;
import org.sardineport.core.identity.NetworkAddress;

/**
 * The platform's list of VMs at one point in time. It may lag behind the actual state.
 *
 * @param asOf time of the state that the list describes, by the platform's clock
 * @param entryVms peer addresses of the entry VMs
 * @param backendServers the listed backend servers with the states of their VMs
 * @param availableSince time since which the source of the list has been available, by
 * this daemon's clock; {@code null} if unknown
 */
public record VmListing(Instant asOf, List<EntryVm> entryVms, List<ListedBackend> backendServers,
		@Nullable Instant availableSince) {

	/**
	 * Creates the listing; the lists are copied.
	 */
	public VmListing {
		Objects.requireNonNull(asOf, "asOf must not be null");
		entryVms = List.copyOf(entryVms);
		backendServers = List.copyOf(backendServers);
	}

	/**
	 * Creates the listing of a source whose availability is not observed.
	 * @param asOf time of the state that the list describes, by the platform's clock
	 * @param entryVms peer addresses of the entry VMs
	 * @param backendServers the listed backend servers with the states of their VMs
	 */
	public VmListing(Instant asOf, List<EntryVm> entryVms, List<ListedBackend> backendServers) {
		this(asOf, entryVms, backendServers, null);
	}

	/**
	 * An entry VM of the list.
	 *
	 * @param peerAddress address at which other daemons reach its daemon
	 * @param state state of the VM
	 */
	public record EntryVm(NetworkAddress peerAddress, VmState state) {
	}

	/**
	 * A backend server of the list.
	 *
	 * @param server the backend server
	 * @param state state of its VM
	 */
	public record ListedBackend(BackendServer server, VmState state) {

		/**
		 * Returns whether this entry must be more recent than another one of the same
		 * name: it shows a later process, or that the same process is leaving, which no
		 * process takes back.
		 * @param other the other entry
		 * @return whether it is; {@code false} if either may be the more recent one
		 */
		public boolean isLaterThan(ListedBackend other) {
			Instant startedAt = this.server.startedAt();
			Instant otherStartedAt = other.server.startedAt();
			boolean isOnlyOneLeaving = this.state == VmState.LEAVING && other.state == VmState.LIVE;
			return startedAt.isAfter(otherStartedAt) || (startedAt.equals(otherStartedAt) && isOnlyOneLeaving);
		}

	}

}
