package org.sardineport.daemon.relay;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBufHolder;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import org.jspecify.annotations.Nullable;

/**
 * The requests that are sent on one connection to a backend server, one at a time:
 * whether the whole of the latest one has been sent. Confined to the event loop of the
 * connection.
 */
final class RequestWrites {

	/**
	 * Size of a request from which its receiver may not have read all that the operating
	 * system has taken, in bytes.
	 */
	private static final int LONG_BYTES = 16 * 1024;

	/**
	 * Time for which a reset is waited for after the end of the connection: longer than a
	 * round trip.
	 */
	private static final Duration RESET_WINDOW = Duration.ofMillis(50);

	/** Means nothing between two requests. */
	private static final byte[] BLANK_LINE = "\r\n".getBytes(StandardCharsets.US_ASCII);

	private @Nullable HttpMethod method;

	private long bytes;

	private int pending;

	private boolean failed;

	/**
	 * Records that a message is written.
	 * @param message the message
	 * @param promise completes when the operating system has taken it
	 * @return the promise to pass on
	 */
	ChannelPromise written(Object message, ChannelPromise promise) {
		if (message instanceof HttpRequest request) {
			this.method = request.method();
			this.bytes = 0;
		}
		if (message instanceof ByteBufHolder part) {
			this.bytes += part.content().readableBytes();
		}
		this.pending++;
		ChannelPromise result = promise.unvoid();
		result.addListener((future) -> {
			this.pending--;
			this.failed |= !future.isSuccess();
		});
		return result;
	}

	/**
	 * Returns the method of the latest request.
	 * @return the method, or {@code null} before any
	 */
	@Nullable HttpMethod method() {
		return this.method;
	}

	/**
	 * Returns whether the operating system has taken all that was written.
	 * @return {@code false} also after a write that failed
	 */
	boolean areComplete() {
		return this.pending == 0 && !this.failed;
	}

	/**
	 * Continues after the receiver has ended the connection, if it does not reset it. A
	 * receiver that has not read a long request resets the connection as soon as the rest
	 * arrives, which only a write shows.
	 * @param context context of the connection's codec
	 * @param action is not called if the connection breaks meanwhile
	 */
	void confirm(ChannelHandlerContext context, Runnable action) {
		if (!areComplete() || this.bytes < LONG_BYTES) {
			action.run();
			return;
		}
		context.executor()
			.schedule(() -> context.writeAndFlush(Unpooled.wrappedBuffer(BLANK_LINE)).addListener((probe) -> {
				if (probe.isSuccess()) {
					action.run();
				}
			}), RESET_WINDOW.toMillis(), TimeUnit.MILLISECONDS);
	}

}
