package org.sardineport.standins.vm;

import java.util.List;

import org.sardineport.core.backend.BackendKind;
import org.sardineport.core.backend.BackendServer;
import org.sardineport.core.port.platform.VmState;

/**
 * List of VMs as the platform writes it.
 */
record VmListJson(String asOf, List<EntryVmJson> entryVms, List<BackendJson> backendServers) {

	/**
	 * An entry VM.
	 */
	record EntryVmJson(String peerAddress, VmState state) {

	}

	/**
	 * A backend server.
	 */
	record BackendJson(String id, BackendKind kind, String pool, String failureDomain, String address,
			int nominalConcurrency, VmState state) {

		static BackendJson of(BackendServer server, VmState state) {
			return new BackendJson(server.id().value(), server.kind(), server.pool().value(),
					server.failureDomain().value(), server.address().toString(), server.nominalConcurrency(), state);
		}

	}

}
