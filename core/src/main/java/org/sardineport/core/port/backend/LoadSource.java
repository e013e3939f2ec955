package org.sardineport.core.port.backend;

import java.util.concurrent.CompletionStage;

import org.sardineport.core.backend.BackendServer;
import org.sardineport.core.backend.LoadReport;

/**
 * Source of load reports of backend servers.
 */
@FunctionalInterface
public interface LoadSource {

	/**
	 * Requests the load report of a backend server.
	 * @param server the backend server
	 * @return the report; fails with {@link BackendException} as its cause
	 */
	CompletionStage<LoadReport> load(BackendServer server);

}
