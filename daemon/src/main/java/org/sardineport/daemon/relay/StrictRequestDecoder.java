package org.sardineport.daemon.relay;

import io.netty.handler.codec.http.HttpMessage;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.impl.VertxHttpRequestDecoder;
import io.vertx.core.net.impl.ConnectionBase;

/**
 * HTTP request decoder that rejects requests with both a {@code Content-Length} and a
 * chunked {@code Transfer-Encoding}, which allow request smuggling: one request hidden in
 * the body of another.
 */
final class StrictRequestDecoder extends VertxHttpRequestDecoder {

	private static final String HANDLER_NAME = "httpDecoder";

	private StrictRequestDecoder(HttpServerOptions options) {
		super(options);
	}

	/**
	 * Replaces the default decoder of a connection. Called when the connection opens.
	 * @param connection the connection
	 * @param options options of its server
	 */
	static void install(HttpConnection connection, HttpServerOptions options) {
		if (connection instanceof ConnectionBase base) {
			base.channel().pipeline().replace(HANDLER_NAME, HANDLER_NAME, new StrictRequestDecoder(options));
		}
	}

	@Override
	protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
		throw new IllegalArgumentException("a request must not have both a length and a transfer encoding");
	}

}
