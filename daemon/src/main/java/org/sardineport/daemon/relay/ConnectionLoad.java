package org.sardineport.daemon.relay;

import java.util.ArrayDeque;
import java.util.Deque;

import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import org.sardineport.core.relay.CallerMemory;

/**
 * Requests of one connection that are not answered yet, with the memory of their heads. A
 * request is answered when its whole response has been handed to the operating system,
 * which waits for a caller that does not read. Confined to the event loop.
 */
final class ConnectionLoad extends ChannelDuplexHandler {

	/** Maximum number of requests that are parsed before the first is answered. */
	private static final int MAX_UNANSWERED = 4;

	private final CallerMemory memory;

	/** Memory of the heads of the unanswered requests, in the order of the requests. */
	private final Deque<Long> heads = new ArrayDeque<>();

	/** Memory of the head that is being read. */
	private long incompleteHead;

	private Runnable resume = () -> {
	};

	private boolean held;

	private boolean closed;

	ConnectionLoad(CallerMemory memory) {
		this.memory = memory;
	}

	/**
	 * Sets what decodes the bytes that were left.
	 * @param action the action
	 */
	void onResume(Runnable action) {
		this.resume = action;
	}

	boolean isFull() {
		return this.heads.size() >= MAX_UNANSWERED;
	}

	/**
	 * Reads nothing more until a request is answered.
	 * @param channel the channel of the connection
	 */
	void hold(Channel channel) {
		this.held = true;
		channel.config().setAutoRead(false);
	}

	/**
	 * Reserves memory for the head that is being read.
	 * @param cost its memory so far, in bytes
	 * @return whether there is room
	 */
	boolean headGrown(long cost) {
		if (this.closed || !this.memory.tryReserve(this.incompleteHead, cost)) {
			return false;
		}
		this.incompleteHead = Math.max(this.incompleteHead, cost);
		return true;
	}

	/**
	 * Records that the head of a request is complete.
	 */
	void requestBegun() {
		this.heads.add(this.incompleteHead);
		this.incompleteHead = 0;
	}

	@Override
	public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) throws Exception {
		boolean informational = message instanceof HttpResponse response
				&& response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
		if (message instanceof LastHttpContent && !informational) {
			promise = promise.unvoid();
			promise.addListener((ignored) -> answered(context));
		}
		super.write(context, message, promise);
	}

	private void answered(ChannelHandlerContext context) {
		Long head = this.heads.poll();
		if (head != null) {
			this.memory.release(head);
		}
		if (this.held) {
			this.held = false;
			// Not within the decoder's turn, which may have caused the response.
			context.executor().execute(() -> proceed(context.channel()));
		}
	}

	private void proceed(Channel channel) {
		if (!channel.isActive()) {
			return;
		}
		this.resume.run();
		if (!this.held) {
			channel.config().setAutoRead(true);
		}
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) throws Exception {
		this.closed = true;
		this.memory.release(this.incompleteHead);
		this.incompleteHead = 0;
		this.heads.forEach(this.memory::release);
		this.heads.clear();
		super.channelInactive(context);
	}

}
