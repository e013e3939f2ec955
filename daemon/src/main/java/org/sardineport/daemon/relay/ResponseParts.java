package org.sardineport.daemon.relay;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.vertx.core.http.HttpClientConnection;
import org.jspecify.annotations.Nullable;

/**
 * Bounds the work that the responses of one backend server cause. Small parts of a body
 * that one turn has brought are passed on as one. A response ends as malformed with too
 * many interim heads, or with too many tiny parts that bring no whole event. Confined to
 * the event loop of its connection.
 */
public final class ResponseParts extends ChannelDuplexHandler {

	/** Maximum number of interim (1xx) heads before a response. */
	static final int MAX_INTERIM_HEADS = 8;

	/** Maximum number of tiny parts in a row without a whole event. */
	static final int MAX_TINY_PARTS = 4000;

	/** Size up to which parts are copied into one, in bytes. */
	private static final int MAX_JOINED_BYTES = 2048;

	/** Size of a part that is hardly larger than its framing, in bytes. */
	private static final int MAX_TINY_BYTES = 8;

	/**
	 * Number of parts below which a turn was a trickle: a server that has no more to send
	 * yet may send single tokens for as long as it likes.
	 */
	private static final int TRICKLE_PARTS = 16;

	private final ReadSize readSize;

	/** What is passed on with the next larger part, or at the end of the turn. */
	private @Nullable ByteBuf joined;

	private int interimHeads;

	private int tinyParts;

	private boolean lineBegun;

	private boolean eventBegun;

	/** Whether nobody waits for more of the connection. */
	private boolean done;

	ResponseParts(ReadSize readSize) {
		this.readSize = readSize;
	}

	/**
	 * Returns a handler to put behind the decoder of one connection.
	 * @return the handler, which does not bound the size of reads
	 */
	public static ChannelHandler handler() {
		return new ResponseParts(ReadSize.ofResponses());
	}

	/**
	 * Bounds the work for a connection.
	 * @param connection the connection, before the first request is sent on it
	 */
	static void install(HttpClientConnection connection) {
		ChannelHandlerContext client = ClientChannel.of(connection);
		ReadSize readSize = ReadSize.ofResponses();
		client.channel().config().setRecvByteBufAllocator(readSize);
		client.pipeline().addBefore(client.name(), null, new ResponseParts(readSize));
	}

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) {
		this.readSize.recordPart();
		if (this.done) {
			ReferenceCountUtil.release(message);
		}
		else if (message instanceof HttpResponse head) {
			headRead(context, head);
		}
		else if (message instanceof HttpContent part && isInnerPart(part)) {
			partRead(context, part);
		}
		else {
			passOn(context, message);
		}
	}

	private static boolean isInnerPart(HttpContent part) {
		return !(part instanceof LastHttpContent) && part.decoderResult().isSuccess();
	}

	private void headRead(ChannelHandlerContext context, HttpResponse head) {
		this.interimHeads = InformationalResponseFilter.isInterim(head.status()) ? this.interimHeads + 1 : 0;
		this.tinyParts = 0;
		if (this.interimHeads > MAX_INTERIM_HEADS) {
			ReferenceCountUtil.release(head);
			reject(context, "more than %d interim responses".formatted(MAX_INTERIM_HEADS));
		}
		else {
			passOn(context, head);
		}
	}

	private void partRead(ChannelHandlerContext context, HttpContent part) {
		recordSize(part.content());
		if (this.tinyParts > MAX_TINY_PARTS) {
			part.release();
			reject(context, "more than %d parts of at most %d bytes without a whole event".formatted(MAX_TINY_PARTS,
					MAX_TINY_BYTES));
		}
		else if (part.content().readableBytes() > MAX_JOINED_BYTES) {
			passOn(context, part);
		}
		else {
			join(context, part.content());
		}
	}

	private void recordSize(ByteBuf bytes) {
		if (bytes.readableBytes() > MAX_TINY_BYTES) {
			this.tinyParts = 0;
			this.lineBegun = true;
			return;
		}
		this.tinyParts++;
		for (int i = bytes.readerIndex(); i < bytes.writerIndex(); i++) {
			recordByte(bytes.getByte(i));
		}
	}

	// An event ends with a blank line; blank lines alone are none.
	private void recordByte(byte next) {
		if (next == '\n' && !this.lineBegun && this.eventBegun) {
			this.tinyParts = 0;
			this.eventBegun = false;
		}
		else if (next == '\n') {
			this.eventBegun |= this.lineBegun;
			this.lineBegun = false;
		}
		else if (next != '\r') {
			this.lineBegun = true;
		}
	}

	private void join(ChannelHandlerContext context, ByteBuf bytes) {
		ByteBuf before = this.joined;
		if (before == null) {
			this.joined = bytes;
			return;
		}
		try {
			this.joined = writable(context, before, bytes.readableBytes()).writeBytes(bytes);
		}
		finally {
			bytes.release();
		}
	}

	// The first part is a view of what was read, without room for another one.
	private static ByteBuf writable(ChannelHandlerContext context, ByteBuf before, int added) {
		if (before.isWritable(added)) {
			return before;
		}
		int length = before.readableBytes() + added;
		ByteBuf larger = context.alloc().heapBuffer(Math.max(MAX_JOINED_BYTES, 2 * length));
		larger.writeBytes(before);
		before.release();
		return larger;
	}

	private void passOn(ChannelHandlerContext context, Object message) {
		passJoinedOn(context);
		context.fireChannelRead(message);
	}

	private void passJoinedOn(ChannelHandlerContext context) {
		ByteBuf bytes = this.joined;
		if (bytes != null) {
			this.joined = null;
			context.fireChannelRead(new DefaultHttpContent(bytes));
		}
	}

	private void reject(ChannelHandlerContext context, String reason) {
		DefaultLastHttpContent end = new DefaultLastHttpContent();
		end.setDecoderResult(DecoderResult.failure(new DecoderException(reason)));
		passOn(context, end);
		this.done = true;
	}

	@Override
	public void channelReadComplete(ChannelHandlerContext context) {
		passJoinedOn(context);
		if (this.readSize.endTurn() < TRICKLE_PARTS) {
			this.tinyParts = 0;
		}
		context.fireChannelReadComplete();
	}

	@Override
	public void close(ChannelHandlerContext context, ChannelPromise promise) {
		this.done = true;
		context.close(promise);
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) {
		passJoinedOn(context);
		context.fireChannelInactive();
	}

	@Override
	public void handlerRemoved(ChannelHandlerContext context) {
		ReferenceCountUtil.release(this.joined);
		this.joined = null;
	}

}
