package org.sardineport.daemon.relay;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPromise;
import io.netty.channel.CombinedChannelDuplexHandler;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.vertx.core.http.HttpClientConnection;
import io.vertx.core.http.HttpClientOptions;

/**
 * Encodes requests to a backend server and decodes its responses, in place of the codec
 * of the HTTP client. Confined to the event loop of its connection.
 */
final class ResponseCodec extends CombinedChannelDuplexHandler<ResponseDecoder, HttpRequestEncoder> {

	/** Name of the codec of the HTTP client in its pipeline. */
	private static final String NAME = "codec";

	private final RequestWrites writes;

	private ResponseCodec(RequestWrites writes) {
		super(new ResponseDecoder(HttpClientOptions.DEFAULT_MAX_INITIAL_LINE_LENGTH,
				HttpClientOptions.DEFAULT_MAX_HEADER_SIZE, HttpClientOptions.DEFAULT_MAX_CHUNK_SIZE, writes),
				new HttpRequestEncoder());
		this.writes = writes;
	}

	/**
	 * Replaces the codec of a connection, before any request is sent on it.
	 * @param connection a connection that the client opened without a pool
	 */
	static void install(HttpClientConnection connection) {
		Channel channel = ClientChannel.of(connection).channel();
		// Tells an end of the connection by the server from each other one.
		channel.config().setOption(ChannelOption.ALLOW_HALF_CLOSURE, true);
		channel.pipeline().replace(NAME, NAME, new ResponseCodec(new RequestWrites()));
	}

	@Override
	public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) throws Exception {
		super.write(context, message, this.writes.written(message, promise));
	}

}
