package org.sardineport.daemon.relay;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.vertx.core.http.HttpClientConnection;

/**
 * Drops the informational responses that precede a response. The HTTP client takes those
 * that it does not know for the response itself. A switch to another protocol is no
 * informational response that another one follows, and is left to the attempt to reject.
 */
final class InformationalResponseFilter extends ChannelInboundHandlerAdapter {

	private boolean dropping;

	private InformationalResponseFilter() {
	}

	/**
	 * Adds the filter to a connection, before any request is sent on it.
	 * @param connection a connection that the client opened without a pool
	 */
	static void install(HttpClientConnection connection) {
		ChannelHandlerContext client = ClientChannel.of(connection);
		client.pipeline().addBefore(client.name(), null, new InformationalResponseFilter());
	}

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) {
		if (message instanceof HttpResponse response) {
			this.dropping = isDropped(response);
		}
		if (!this.dropping) {
			context.fireChannelRead(message);
			return;
		}
		this.dropping = !(message instanceof LastHttpContent);
		ReferenceCountUtil.release(message);
	}

	private static boolean isDropped(HttpResponse response) {
		return response.decoderResult().isSuccess() && isInterim(response.status());
	}

	/**
	 * Returns whether another response to the same request follows.
	 * @param status status of a response
	 * @return {@code true} if it is informational and switches to no other protocol
	 */
	static boolean isInterim(HttpResponseStatus status) {
		return status.codeClass() == HttpStatusClass.INFORMATIONAL
				&& status.code() != HttpResponseStatus.SWITCHING_PROTOCOLS.code();
	}

}
