package org.sardineport.core.port.platform;

import java.time.Instant;
import java.util.List;
import java.util.Objects;

import org.sardineport.core.backend.BackendServer;
import org.sardineport.core.identity.NetworkAddress;

/**
 * The platform's list of VMs. It lags behind the truth.
 *
 * @param asOf when the list was true, by the platform's clock
 * @param entryVms peer addresses of the entry VMs
 * @param backendServers the backend servers
 */
public record VmListing(Instant asOf, List<EntryVm> entryVms, List<ListedBackend> backendServers) {

	/**
	 * Creates the listing.
	 */
	public VmListing {
		Objects.requireNonNull(asOf, "asOf must not be null");
		entryVms = List.copyOf(entryVms);
		backendServers = List.copyOf(backendServers);
	}

	/**
	 * An entry VM of the list.
	 *
	 * @param peerAddress where its daemon is reached by others
	 * @param state its state
	 */
	public record EntryVm(NetworkAddress peerAddress, VmState state) {
	}

	/**
	 * A backend server of the list.
	 *
	 * @param server the backend server
	 * @param state its state
	 */
	public record ListedBackend(BackendServer server, VmState state) {
	}

}
