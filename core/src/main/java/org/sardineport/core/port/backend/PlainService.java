package org.sardineport.core.port.backend;

import org.sardineport.core.backend.BackendServer;

/**
 * Access to backend servers that serve requests. Implementations never retry a request.
 * Thread-safe.
 */
public interface PlainService {

	/**
	 * Sends a request once.
	 * @param server the backend server
	 * @param request the request
	 * @param listener receives the response
	 * @return the exchange, which can be paused and cancelled
	 */
	Exchange send(BackendServer server, BackendRequest request, ResponseListener listener);

}
