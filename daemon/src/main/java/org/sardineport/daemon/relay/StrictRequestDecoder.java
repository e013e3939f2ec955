package org.sardineport.daemon.relay;

import java.time.Duration;
import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.AsciiString;
import io.netty.util.ReferenceCountUtil;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.impl.VertxHttpRequestDecoder;
import io.vertx.core.net.impl.ConnectionBase;
import org.sardineport.core.relay.CallerMemory;
import org.sardineport.core.relay.HeadCost;
import org.sardineport.daemon.telemetry.EventLog;

/**
 * HTTP request decoder that rejects each request whose end is in doubt, which allows
 * request smuggling: one request hidden in the body of another. That is a request with a
 * transfer encoding other than a single {@code chunked}, with a transfer encoding beside
 * a length, or with a chunk size that does not fit into 32 bits.
 */
final class StrictRequestDecoder extends VertxHttpRequestDecoder {

	private static final EventLog LOG = EventLog.of(StrictRequestDecoder.class);

	private static final String HANDLER_NAME = "httpDecoder";

	private static final String ENCODER_NAME = "httpEncoder";

	/**
	 * Size of one read. What was read of a connection is held until it can be counted, so
	 * it must be small for each of thousands of connections.
	 */
	private static final int READ_BYTES = 4096;

	/**
	 * Time without a byte read by the caller after which its response is given up. Longer
	 * than any pause of a caller on a slow link.
	 */
	private static final Duration UNREAD_TIMEOUT = Duration.ofSeconds(60);

	/** Maximum number of reads of a connection in one turn of the event loop. */
	private static final int READS_PER_TURN = 4;

	/** Maximum number of digits of a chunk size without leading zeros. */
	private static final int MAX_SIZE_DIGITS = 8;

	/** Remaining bytes of the current chunk; negative outside chunked bodies. */
	private long chunkRemaining = -1;

	private boolean rejected;

	private final ConnectionLoad load;

	/** Bytes and fields of the head that is being read. */
	private long headBytes;

	private int headFields;

	private boolean insideBody;

	private StrictRequestDecoder(HttpServerOptions options, ConnectionLoad load) {
		super(options);
		this.load = load;
	}

	/**
	 * Replaces the default decoder of a connection. Called when the connection opens.
	 * @param connection the connection
	 * @param options options of its server
	 * @param memory account of the memory held for callers
	 */
	static void install(HttpConnection connection, HttpServerOptions options, CallerMemory memory) {
		if (connection instanceof ConnectionBase base) {
			Channel channel = base.channel();
			channel.config()
				.setRecvByteBufAllocator(new FixedRecvByteBufAllocator(READ_BYTES).maxMessagesPerRead(READS_PER_TURN));
			channel.pipeline().addBefore(HANDLER_NAME, "unreadResponse", new UnreadResponse(UNREAD_TIMEOUT));
			ConnectionLoad load = new ConnectionLoad(memory);
			StrictRequestDecoder decoder = new StrictRequestDecoder(options, load);
			channel.pipeline().replace(HANDLER_NAME, HANDLER_NAME, decoder);
			channel.pipeline().addAfter(ENCODER_NAME, "connectionLoad", load);
			load.onResume(() -> decoder.decodeAgain(channel));
		}
	}

	@Override
	protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
		throw new IllegalArgumentException("a request must not have both a length and a transfer encoding");
	}

	// Called once for each message, when its headers are complete.
	@Override
	protected boolean isContentAlwaysEmpty(HttpMessage message) {
		List<String> encodings = message.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
		if (!encodings.isEmpty()) {
			checkEncoding(encodings, message.protocolVersion());
			this.chunkRemaining = 0;
		}
		return super.isContentAlwaysEmpty(message);
	}

	private static void checkEncoding(List<String> encodings, HttpVersion version) {
		boolean chunked = encodings.size() == 1 && HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(encodings.get(0));
		if (!chunked || !version.equals(HttpVersion.HTTP_1_1)) {
			throw new IllegalArgumentException("the only transfer encoding of a request may be chunked");
		}
	}

	@Override
	protected void decode(ChannelHandlerContext context, ByteBuf buffer, List<Object> out) throws Exception {
		if (this.rejected) {
			buffer.skipBytes(buffer.readableBytes());
			return;
		}
		if (this.chunkRemaining == 0 && !readChunkSize(buffer)) {
			this.rejected = true;
			buffer.skipBytes(buffer.readableBytes());
			DefaultLastHttpContent end = new DefaultLastHttpContent();
			end.setDecoderResult(
					DecoderResult.failure(new IllegalArgumentException("a chunk size has too many digits")));
			out.add(end);
			return;
		}
		if (this.chunkRemaining < 0) {
			decodeOutsideChunks(context, buffer, out);
			return;
		}
		int before = out.size();
		super.decode(context, buffer, out);
		out.subList(before, out.size()).forEach(this::decoded);
	}

	private void decodeOutsideChunks(ChannelHandlerContext context, ByteBuf buffer, List<Object> out) throws Exception {
		if (this.insideBody) {
			int before = out.size();
			super.decode(context, buffer, out);
			out.subList(before, out.size()).forEach(this::decoded);
			return;
		}
		if (this.headBytes == 0 && this.load.isFull()) {
			this.load.hold(context.channel());
			return;
		}
		int before = out.size();
		int start = buffer.readerIndex();
		super.decode(context, buffer, out);
		this.headBytes += buffer.readerIndex() - start;
		boolean room = this.load.headGrown(HeadCost.of(this.headBytes + buffer.readableBytes(), this.headFields));
		if (!room) {
			LOG.info("caller.head-too-costly", "remote", context.channel().remoteAddress(), "bytes", this.headBytes,
					"fields", this.headFields);
			this.rejected = true;
			buffer.skipBytes(buffer.readableBytes());
			List<Object> begun = out.subList(before, out.size());
			begun.forEach(ReferenceCountUtil::release);
			begun.clear();
			context.close();
			return;
		}
		out.subList(before, out.size()).forEach(this::decoded);
	}

	@Override
	protected AsciiString splitHeaderName(byte[] bytes, int start, int length) {
		this.headFields++;
		return super.splitHeaderName(bytes, start, length);
	}

	// Decodes what was left when too many requests were unanswered.
	private void decodeAgain(Channel channel) {
		ChannelHandlerContext context = channel.pipeline().context(this);
		if (context == null) {
			return;
		}
		try {
			channelRead(context, Unpooled.EMPTY_BUFFER);
			channelReadComplete(context);
		}
		catch (Exception ex) {
			context.fireExceptionCaught(ex);
		}
	}

	/**
	 * Looks at the size of the chunk that begins, if it is complete.
	 * @param buffer the bytes from the end of the chunk before on
	 * @return whether the size fits into 32 bits as far as it is known
	 */
	private boolean readChunkSize(ByteBuf buffer) {
		int at = buffer.readerIndex();
		while (at < buffer.writerIndex() && isBlank(buffer.getByte(at))) {
			at++;
		}
		long size = 0;
		int digits = 0;
		for (; at < buffer.writerIndex(); at++) {
			int digit = Character.digit(buffer.getByte(at), 16);
			if (digit < 0) {
				this.chunkRemaining = size;
				return true;
			}
			digits += (digits > 0 || digit > 0) ? 1 : 0;
			if (digits > MAX_SIZE_DIGITS) {
				return false;
			}
			size = 16 * size + digit;
		}
		return true;
	}

	private static boolean isBlank(byte value) {
		return value >= 0 && value <= ' ';
	}

	private void decoded(Object message) {
		if (message instanceof HttpRequest) {
			this.insideBody = true;
			this.headBytes = 0;
			this.headFields = 0;
			this.load.requestBegun();
		}
		if (message instanceof LastHttpContent) {
			this.insideBody = false;
			this.chunkRemaining = -1;
		}
		else if (message instanceof HttpContent content && this.chunkRemaining > 0) {
			this.chunkRemaining -= Math.min(this.chunkRemaining, content.content().readableBytes());
		}
	}

}
