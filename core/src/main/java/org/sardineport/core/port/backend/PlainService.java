package org.sardineport.core.port.backend;

import org.sardineport.core.backend.BackendServer;

/**
 * Access to backend servers that answer requests. Nothing is ever sent twice. Safe for
 * use by any thread.
 */
public interface PlainService {

	/**
	 * Sends a request.
	 * @param server the backend server
	 * @param request the request
	 * @param listener hears the answer
	 * @return the exchange
	 */
	Exchange send(BackendServer server, BackendRequest request, AnswerListener listener);

}
