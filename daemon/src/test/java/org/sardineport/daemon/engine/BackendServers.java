package org.sardineport.daemon.engine;

import org.sardineport.core.backend.BackendKind;
import org.sardineport.core.backend.BackendServer;
import org.sardineport.core.identity.BackendServerId;
import org.sardineport.core.identity.FailureDomain;
import org.sardineport.core.identity.NetworkAddress;
import org.sardineport.core.identity.PoolName;

/**
 * Creates backend servers for tests.
 */
final class BackendServers {

	private BackendServers() {
	}

	static BackendServer service(String id, NetworkAddress address) {
		return of(id, BackendKind.PLAIN_SERVICE, address);
	}

	static BackendServer engine(String id, NetworkAddress address) {
		return of(id, BackendKind.MODEL_ENGINE, address);
	}

	private static BackendServer of(String id, BackendKind kind, NetworkAddress address) {
		return new BackendServer(BackendServerId.of(id), kind, PoolName.of("pool"), FailureDomain.of("bole"), address,
				8);
	}

}
