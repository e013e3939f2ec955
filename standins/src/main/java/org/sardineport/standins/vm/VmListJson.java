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
 * List of VMs as the platform writes it.
 */
record VmListJson(String asOf, List<EntryVmJson> entryVms, List<BackendJson> backendServers) {

	VmListing toListing() {
		return new VmListing(Instant.parse(this.asOf), this.entryVms.stream().map(EntryVmJson::toEntryVm).toList(),
				this.backendServers.stream().map(BackendJson::toListed).toList());
	}

	/**
	 * An entry VM.
	 */
	record EntryVmJson(String peerAddress, VmState state) {

		private VmListing.EntryVm toEntryVm() {
			return new VmListing.EntryVm(NetworkAddress.parse(this.peerAddress), this.state);
		}

	}

	/**
	 * A backend server.
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
