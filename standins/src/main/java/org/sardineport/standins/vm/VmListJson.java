package org.sardineport.standins.vm;

import java.time.Instant;
import java.util.List;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.backend.BackendKind;
import org.sardineport.core.backend.BackendServer;
import org.sardineport.core.backend.SoftwareVersion;
import org.sardineport.core.identity.BackendServerId;
import org.sardineport.core.identity.FailureDomain;
import org.sardineport.core.identity.NetworkAddress;
import org.sardineport.core.identity.PoolName;
import org.sardineport.core.port.platform.VmListing;
import org.sardineport.core.port.platform.VmState;

/**
 * List of VMs in the platform's JSON format. Component names are part of that format.
 *
 * @param asOf time up to which the list is known to be correct, in ISO 8601
 * @param entryVms the entry VMs
 * @param backendServers the backend servers
 */
record VmListJson(String asOf, List<EntryVmJson> entryVms, List<BackendJson> backendServers) {

	VmListing toListing() {
		return new VmListing(Instant.parse(this.asOf), this.entryVms.stream().map(EntryVmJson::toEntryVm).toList(),
				this.backendServers.stream().map(BackendJson::toListed).toList());
	}

	/**
	 * Entry VM in the list.
	 *
	 * @param peerAddress address at which its daemon listens for other daemons
	 * @param state state of the VM
	 */
	record EntryVmJson(String peerAddress, VmState state) {

		private VmListing.EntryVm toEntryVm() {
			return new VmListing.EntryVm(NetworkAddress.parse(this.peerAddress), this.state);
		}

	}

	/**
	 * Backend server in the list.
	 *
	 * @param id id of the backend server
	 * @param kind whether it is a model engine or a plain service
	 * @param pool name of its pool
	 * @param failureDomain its failure domain
	 * @param address address at which it listens
	 * @param nominalConcurrency number of requests that it can run at once
	 * @param state state of its VM
	 */
	record BackendJson(String id, BackendKind kind, String pool, String failureDomain, String address,
			int nominalConcurrency, VmState state, @Nullable String softwareVersion) {

		private VmListing.ListedBackend toListed() {
			BackendServer server = new BackendServer(BackendServerId.of(this.id), this.kind, PoolName.of(this.pool),
					FailureDomain.of(this.failureDomain), NetworkAddress.parse(this.address), this.nominalConcurrency);
			return new VmListing.ListedBackend(server.withSoftwareVersion(version()), this.state);
		}

		private SoftwareVersion version() {
			return (this.softwareVersion != null) ? SoftwareVersion.of(this.softwareVersion) : SoftwareVersion.UNKNOWN;
		}

		private static @Nullable String listedVersion(BackendServer server) {
			SoftwareVersion version = server.softwareVersion();
			return (!version.equals(SoftwareVersion.UNKNOWN)) ? version.value() : null;
		}

		static BackendJson of(BackendServer server, VmState state) {
			return new BackendJson(server.id().value(), server.kind(), server.pool().value(),
					server.failureDomain().value(), server.address().toString(), server.nominalConcurrency(), state,
					listedVersion(server));
		}

	}

}
