package org.sardineport.daemon.relay;

import io.vertx.core.http.HttpServerOptions;
import org.sardineport.core.identity.NetworkAddress;

/**
 * Static method to create the options that the HTTP servers for callers have in common.
 */
final class ServerOptions {

	private ServerOptions() {
	}

	/**
	 * Returns options for a server that speaks HTTP/1.1 alone. Without compression of
	 * WebSockets, its connections have no handler that looks at each message for them.
	 * @param address where it listens
	 * @return the options, which may be changed
	 */
	static HttpServerOptions listeningAt(NetworkAddress address) {
		return new HttpServerOptions().setHost(address.ip())
			.setPort(address.port())
			.setHttp2ClearTextEnabled(false)
			.setPerFrameWebSocketCompressionSupported(false)
			.setPerMessageWebSocketCompressionSupported(false);
	}

}
