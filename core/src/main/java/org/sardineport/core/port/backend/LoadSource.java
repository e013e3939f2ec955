package org.sardineport.core.port.backend;

import java.util.concurrent.CompletionStage;

import org.sardineport.core.backend.BackendServer;
import org.sardineport.core.backend.LoadReport;

/**
 * Where load reports of backend servers come from.
 */
@FunctionalInterface
public interface LoadSource {

	/**
	 * Asks for the load report of a backend server.
	 * @param server the backend server
	 * @return the report, or a failure with a {@link BackendException}
	 */
	CompletionStage<LoadReport> load(BackendServer server);

}
