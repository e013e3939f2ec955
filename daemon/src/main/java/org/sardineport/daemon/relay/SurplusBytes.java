package org.sardineport.daemon.relay;

import java.nio.charset.StandardCharsets;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.vertx.core.http.HttpClientConnection;

/**
 * Finds bytes behind the last response on a connection. The HTTP client closes a
 * connection on which a whole head arrives while no request runs, but a part of a head
 * waits in its decoder, and would become the beginning of the response to the next
 * request.
 */
final class SurplusBytes {

	/** Ends a head that has begun, and means nothing between two responses. */
	private static final byte[] BLANK_LINES = "\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

	private SurplusBytes() {
	}

	/**
	 * Returns whether bytes have arrived on a connection that belong to no request. The
	 * client closes the connection then. Must be called on its event loop.
	 * @param connection the connection, on which no request runs
	 * @return whether it cannot be used, as there are such bytes or it is closed
	 */
	static boolean areOn(HttpClientConnection connection) {
		Channel channel = ClientChannel.of(connection).channel();
		channel.pipeline().fireChannelRead(Unpooled.wrappedBuffer(BLANK_LINES));
		channel.pipeline().fireChannelReadComplete();
		return !channel.isActive();
	}

}
