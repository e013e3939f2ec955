package org.sardineport.daemon.relay;

import io.vertx.core.http.HttpClientConnection;
import org.jspecify.annotations.Nullable;
import org.sardineport.core.identity.DaemonId;

/**
 * A connection to a backend server that was just opened.
 *
 * @param http the connection
 * @param helper the daemon that carries it, or {@code null} if it is direct
 */
record OpenedConnection(HttpClientConnection http, @Nullable DaemonId helper) {

	static OpenedConnection direct(HttpClientConnection http) {
		return new OpenedConnection(http, null);
	}

	static OpenedConnection through(DaemonId helper, HttpClientConnection http) {
		return new OpenedConnection(http, helper);
	}

}
