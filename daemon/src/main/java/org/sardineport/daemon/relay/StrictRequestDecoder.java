package org.sardineport.daemon.relay;

import java.time.Duration;
import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
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
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.impl.VertxHttpRequestDecoder;
import io.vertx.core.net.impl.ConnectionBase;
import org.jspecify.annotations.Nullable;
import org.sardineport.core.relay.HeadCost;
import org.sardineport.daemon.telemetry.EventLog;

/**
 * HTTP request decoder that rejects each request whose end is in doubt, which allows
 * request smuggling: one request hidden in the body of another. That is a request with a
 * transfer encoding other than a single {@code chunked}, with a transfer encoding beside
 * a length, or with a chunk size that does not fit into 32 bits. Field names and lines
 * that the library would read leniently are rejected as well. Memory is reserved for each
 * head before it is decoded.
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

	/** Maximum number of bytes of blank lines before a request. */
	private static final int MAX_BLANK_BYTES = 64;

	/** Bytes of a line between two chunks that need no account. */
	private static final int SMALL_CHUNK_LINE_BYTES = 64;

	/** Maximum number of digits of a chunk size without leading zeros. */
	private static final int MAX_SIZE_DIGITS = 8;

	/** Stands for a request whose head is rejected. */
	private static final String[] UNREAD_REQUEST = { "GET", "/bad-request", "HTTP/1.1" };

	/** Remaining bytes of the current chunk; negative outside chunked bodies. */
	private long chunkRemaining = -1;

	/** Whether the size of the last chunk has been seen, which is zero. */
	private boolean lastChunk;

	private boolean rejected;

	private final ConnectionLoad load;

	private HeadScanner head = HeadScanner.ofHead();

	/** Follows the trailers; {@code null} outside them. */
	private @Nullable HeadScanner trailers;

	private boolean insideBody;

	private StrictRequestDecoder(HttpServerOptions options, ConnectionLoad load) {
		super(options);
		this.load = load;
	}

	/**
	 * Replaces the default decoder of a connection. Called when the connection opens.
	 * @param connection the connection
	 * @param options options of its server
	 * @param incompleteHeads account of the heads of all connections
	 */
	static void install(HttpConnection connection, HttpServerOptions options, IncompleteHeads incompleteHeads) {
		if (connection instanceof ConnectionBase base) {
			Channel channel = base.channel();
			ReadSize readSize = ReadSize.ofRequests(READ_BYTES);
			channel.config().setRecvByteBufAllocator(readSize);
			channel.pipeline().addBefore(HANDLER_NAME, "unreadResponse", new UnreadResponse(UNREAD_TIMEOUT));
			ConnectionLoad load = new ConnectionLoad(incompleteHeads, readSize);
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
		}
		else if (!this.insideBody) {
			decodeHead(context, buffer, out);
		}
		else if (this.trailers != null) {
			decodeTrailers(context, buffer, out, this.trailers);
		}
		else if (this.chunkRemaining >= 0) {
			decodeChunk(context, buffer, out);
		}
		else {
			decodeNext(context, buffer, out);
		}
	}

	private void decodeHead(ChannelHandlerContext context, ByteBuf buffer, List<Object> out) throws Exception {
		if (this.head.bytes() == 0 && this.load.isFull()) {
			this.load.hold(context.channel());
			return;
		}
		this.head.scan(buffer);
		if (this.head.isFolded()) {
			HttpMessage invalid = createMessage(UNREAD_REQUEST);
			invalid.setDecoderResult(
					DecoderResult.failure(new IllegalArgumentException("a header line begins with a blank")));
			reject(buffer);
			out.add(invalid);
		}
		else if (this.head.blankBytes() > MAX_BLANK_BYTES) {
			LOG.info("caller.blank-lines", "remote", context.channel().remoteAddress());
			reject(buffer);
			context.close();
		}
		else if (hasRoom(context, buffer, this.head)) {
			this.head.consumed(decodeNext(context, buffer, out));
		}
	}

	// The library keeps trailers, and joins those that are folded.
	private void decodeTrailers(ChannelHandlerContext context, ByteBuf buffer, List<Object> out, HeadScanner scanner)
			throws Exception {
		scanner.scan(buffer);
		if (scanner.isFolded()) {
			rejectBody(buffer, out, "a trailer begins with a blank");
		}
		else if (hasRoom(context, buffer, scanner)) {
			scanner.consumed(decodeNext(context, buffer, out));
		}
	}

	private void decodeChunk(ChannelHandlerContext context, ByteBuf buffer, List<Object> out) throws Exception {
		if (this.chunkRemaining == 0 && !readChunkSize(buffer)) {
			rejectBody(buffer, out, "a chunk size has too many digits");
			return;
		}
		if (decodeNext(context, buffer, out) > 0) {
			this.load.releaseLine();
			this.trailers = (this.lastChunk && this.insideBody) ? HeadScanner.ofTrailers() : null;
		}
		else if (buffer.readableBytes() > SMALL_CHUNK_LINE_BYTES
				&& !this.load.headGrown(HeadCost.of(buffer.readableBytes(), 0))) {
			closeWithoutRoom(context, buffer, buffer.readableBytes(), 1);
		}
	}

	private int decodeNext(ChannelHandlerContext context, ByteBuf buffer, List<Object> out) throws Exception {
		int before = out.size();
		int start = buffer.readerIndex();
		super.decode(context, buffer, out);
		out.subList(before, out.size()).forEach(this::decoded);
		return buffer.readerIndex() - start;
	}

	private boolean hasRoom(ChannelHandlerContext context, ByteBuf buffer, HeadScanner scanner) {
		if (this.load.headGrown(HeadCost.of(scanner.bytes(), scanner.lines()))) {
			return true;
		}
		closeWithoutRoom(context, buffer, scanner.bytes(), scanner.lines());
		return false;
	}

	private void closeWithoutRoom(ChannelHandlerContext context, ByteBuf buffer, long bytes, int lines) {
		LOG.info("caller.head-too-costly", "remote", context.channel().remoteAddress(), "bytes", bytes, "lines", lines);
		reject(buffer);
		context.close();
	}

	private void rejectBody(ByteBuf buffer, List<Object> out, String reason) {
		reject(buffer);
		DefaultLastHttpContent end = new DefaultLastHttpContent();
		end.setDecoderResult(DecoderResult.failure(new IllegalArgumentException(reason)));
		out.add(end);
	}

	private void reject(ByteBuf buffer) {
		this.rejected = true;
		buffer.skipBytes(buffer.readableBytes());
	}

	@Override
	protected AsciiString splitHeaderName(byte[] line, int start, int length) {
		FieldName.check(line, start, length);
		return super.splitHeaderName(line, start, length);
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
				this.lastChunk = digits == 0;
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
			this.head = HeadScanner.ofHead();
			this.load.requestBegun();
		}
		if (message instanceof LastHttpContent) {
			this.insideBody = false;
			this.chunkRemaining = -1;
			this.lastChunk = false;
			this.trailers = null;
			this.load.requestRead();
		}
		else if (message instanceof HttpContent content && this.chunkRemaining > 0) {
			this.chunkRemaining -= Math.min(this.chunkRemaining, content.content().readableBytes());
		}
	}

}
