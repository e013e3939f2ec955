package org.sardineport.daemon.relay;

import java.time.Duration;
import java.util.concurrent.TimeUnit;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.handler.timeout.IdleStateHandler;
import org.sardineport.daemon.telemetry.EventLog;

/**
 * Closes a connection whose caller reads nothing of a response that waits for it.
 */
final class UnreadResponse extends IdleStateHandler {

	private static final EventLog LOG = EventLog.of(UnreadResponse.class);

	/**
	 * Creates the handler of one connection.
	 * @param timeout maximum time without a byte that the caller takes
	 */
	UnreadResponse(Duration timeout) {
		super(true, 0, timeout.toMillis(), 0, TimeUnit.MILLISECONDS);
	}

	@Override
	protected void channelIdle(ChannelHandlerContext context, IdleStateEvent event) {
		ChannelOutboundBuffer pending = context.channel().unsafe().outboundBuffer();
		if (pending != null && pending.totalPendingWriteBytes() > 0) {
			LOG.info("caller.response-unread", "remote", context.channel().remoteAddress(), "bytes",
					pending.totalPendingWriteBytes());
			context.close();
		}
	}

}
