package org.sardineport.daemon.relay;

import java.lang.reflect.Field;
import java.util.Arrays;

import io.netty.channel.ChannelHandlerContext;
import io.vertx.core.http.HttpClientConnection;
import io.vertx.core.http.impl.HttpClientConnectionInternal;
import io.vertx.core.http.impl.UnpooledHttpClientConnection;

/**
 * Gives access to the channel below a connection of the HTTP client, which hides it.
 */
final class ClientChannel {

	private static final Field WRAPPED = wrapped();

	private ClientChannel() {
	}

	private static Field wrapped() {
		Field field = Arrays.stream(UnpooledHttpClientConnection.class.getDeclaredFields())
			.filter((each) -> each.getType() == HttpClientConnectionInternal.class)
			.findFirst()
			.orElseThrow(() -> new IllegalStateException("the HTTP client has other connections, adapt ClientChannel"));
		field.setAccessible(true);
		return field;
	}

	/**
	 * Returns the context of the client's own handler in the channel's pipeline.
	 * @param connection a connection that the client opened without a pool
	 * @return the context
	 */
	static ChannelHandlerContext of(HttpClientConnection connection) {
		try {
			return ((HttpClientConnectionInternal) WRAPPED.get(connection)).channelHandlerContext();
		}
		catch (IllegalAccessException ex) {
			throw new IllegalStateException("the connection is not accessible, adapt ClientChannel", ex);
		}
	}

}
