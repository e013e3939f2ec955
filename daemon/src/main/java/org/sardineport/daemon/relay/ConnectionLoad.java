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
import org.jspecify.annotations.Nullable;

/**
 * Requests of one connection that are not answered yet, with the memory of their heads. A
 * request is answered when its whole response has been handed to the operating system,
 * which waits for a caller that does not read. Confined to the event loop.
 */
final class ConnectionLoad extends ChannelDuplexHandler {

	/** Maximum number of requests that are parsed before the first is answered. */
	private static final int MAX_UNANSWERED = 4;

	private final IncompleteHeads incompleteHeads;

	private final ReadSize readSize;

	/** Memory of the heads of the unanswered requests, in the order of the requests. */
	private final Deque<Long> heads = new ArrayDeque<>();

	/** Memory of the head that is being read. */
	private long incompleteHead;

	/** Memory of the head of a request that was answered before its body was read. */
	private long answeredHead;

	/** Whether the body of the latest request is being read. */
	private boolean bodyOpen;

	private Runnable resume = () -> {
	};

	private boolean held;

	private boolean closed;

	private @Nullable ChannelHandlerContext handlerContext;

	/**
	 * Creates the load of a connection without requests.
	 * @param incompleteHeads account of the heads of all connections
	 * @param readSize size of the reads of the connection
	 */
	ConnectionLoad(IncompleteHeads incompleteHeads, ReadSize readSize) {
		this.incompleteHeads = incompleteHeads;
		this.readSize = readSize;
	}

	@Override
	public void handlerAdded(ChannelHandlerContext context) {
		this.handlerContext = context;
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
	 * Reserves memory for the head, or the trailers, that are being read.
	 * @param cost their memory so far, in bytes
	 * @return whether there is room
	 */
	boolean headGrown(long cost) {
		if (this.closed || !this.incompleteHeads.tryReserve(this, this.incompleteHead, cost)) {
			return false;
		}
		this.incompleteHead = Math.max(this.incompleteHead, cost);
		return true;
	}

	/**
	 * Returns the memory that a close of the connection would free without the loss of an
	 * answer.
	 * @return the memory, in bytes
	 */
	long incompleteBytes() {
		return this.incompleteHead + this.answeredHead;
	}

	/**
	 * Returns whether a head is being read.
	 * @return {@code false} before its first byte and after its end
	 */
	boolean isReadingHead() {
		return this.incompleteHead > 0;
	}

	/**
	 * Records that the head of a request is complete.
	 */
	void requestBegun() {
		this.heads.add(this.incompleteHead);
		this.incompleteHead = 0;
		this.bodyOpen = true;
		this.incompleteHeads.completed(this);
	}

	/**
	 * Records that the body of a request is complete.
	 */
	void requestRead() {
		releaseLine();
		this.bodyOpen = false;
		this.incompleteHeads.release(this.answeredHead);
		this.answeredHead = 0;
		this.incompleteHeads.completed(this);
	}

	/**
	 * Releases the memory of trailers, or of a line between two chunks, which were read.
	 */
	void releaseLine() {
		this.incompleteHeads.release(this.incompleteHead);
		this.incompleteHead = 0;
	}

	/**
	 * Closes the connection, whose request is not complete.
	 */
	void giveUp() {
		release();
		ChannelHandlerContext context = this.handlerContext;
		if (context != null) {
			context.close();
		}
	}

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) {
		this.readSize.recordPart();
		context.fireChannelRead(message);
	}

	@Override
	public void channelReadComplete(ChannelHandlerContext context) {
		this.readSize.endTurn();
		context.fireChannelReadComplete();
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
		if (head != null && this.bodyOpen && this.heads.isEmpty()) {
			// The request is held until its body ends, which is read and dropped.
			this.answeredHead = head;
			this.incompleteHeads.hold(this);
		}
		else if (head != null) {
			this.incompleteHeads.release(head);
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
		release();
		super.channelInactive(context);
	}

	private void release() {
		this.closed = true;
		requestRead();
		this.heads.forEach(this.incompleteHeads::release);
		this.heads.clear();
	}

}
