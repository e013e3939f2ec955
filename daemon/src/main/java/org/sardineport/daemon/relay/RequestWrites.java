package org.sardineport.daemon.relay;

import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import org.jspecify.annotations.Nullable;

/**
 * The requests that are sent on one connection to a backend server, one at a time.
 * Confined to the event loop of the connection.
 */
final class RequestWrites {

	private @Nullable HttpMethod method;

	/**
	 * Records that a message is written.
	 * @param message the message
	 */
	void written(Object message) {
		if (message instanceof HttpRequest request) {
			this.method = request.method();
		}
	}

	/**
	 * Returns the method of the latest request.
	 * @return the method, or {@code null} before any
	 */
	@Nullable HttpMethod method() {
		return this.method;
	}

}
