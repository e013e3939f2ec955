package org.sardineport.daemon.platform;

import java.time.Instant;
import java.util.List;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
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
 * JSON form of the platform's list of VMs.
 *
 * @param asOf time of the list, in ISO 8601
 * @param entryVms the entry VMs
 * @param backendServers the backend servers
 */
@JsonIgnoreProperties(ignoreUnknown = true)
record VmListingJson(String asOf, List<EntryVmJson> entryVms, List<BackendJson> backendServers) {

	VmListing toListing() {
		return new VmListing(Instant.parse(this.asOf), this.entryVms.stream().map(EntryVmJson::toEntryVm).toList(),
				this.backendServers.stream().map(BackendJson::toListedBackend).toList());
	}

	/**
	 * JSON form of a listed entry VM.
	 */
	@JsonIgnoreProperties(ignoreUnknown = true)
	record EntryVmJson(String peerAddress, VmState state) {

		private VmListing.EntryVm toEntryVm() {
			return new VmListing.EntryVm(NetworkAddress.parse(this.peerAddress), this.state);
		}

	}

	/**
	 * JSON form of a listed backend server. {@code softwareVersion} is optional; servers
	 * without it are treated as running the same, unknown version.
	 */
	@JsonIgnoreProperties(ignoreUnknown = true)
	record BackendJson(String id, BackendKind kind, String pool, String failureDomain, String address,
			int nominalConcurrency, VmState state, @Nullable String softwareVersion) {

		private VmListing.ListedBackend toListedBackend() {
			BackendServer server = new BackendServer(BackendServerId.of(this.id), this.kind, PoolName.of(this.pool),
					FailureDomain.of(this.failureDomain), NetworkAddress.parse(this.address), this.nominalConcurrency);
			return new VmListing.ListedBackend(server.withSoftwareVersion(version()), this.state);
		}

		private SoftwareVersion version() {
			return (this.softwareVersion != null) ? SoftwareVersion.of(this.softwareVersion) : SoftwareVersion.UNKNOWN;
		}

	}

}
