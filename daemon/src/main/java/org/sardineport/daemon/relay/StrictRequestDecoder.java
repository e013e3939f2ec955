package org.sardineport.daemon.relay;

import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.impl.VertxHttpRequestDecoder;
import io.vertx.core.net.impl.ConnectionBase;

/**
 * HTTP request decoder that rejects each request whose end is in doubt, which allows
 * request smuggling: one request hidden in the body of another. That is a request with a
 * transfer encoding other than a single {@code chunked}, with a transfer encoding beside
 * a length, or with a chunk size that does not fit into 32 bits.
 */
final class StrictRequestDecoder extends VertxHttpRequestDecoder {

	private static final String HANDLER_NAME = "httpDecoder";

	/** Maximum number of digits of a chunk size without leading zeros. */
	private static final int MAX_SIZE_DIGITS = 8;

	/** Remaining bytes of the current chunk; negative outside chunked bodies. */
	private long chunkRemaining = -1;

	private boolean rejected;

	private StrictRequestDecoder(HttpServerOptions options) {
		super(options);
	}

	/**
	 * Replaces the default decoder of a connection. Called when the connection opens.
	 * @param connection the connection
	 * @param options options of its server
	 */
	static void install(HttpConnection connection, HttpServerOptions options) {
		if (connection instanceof ConnectionBase base) {
			base.channel().pipeline().replace(HANDLER_NAME, HANDLER_NAME, new StrictRequestDecoder(options));
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
			super.decode(context, buffer, out);
			return;
		}
		int before = out.size();
		super.decode(context, buffer, out);
		out.subList(before, out.size()).forEach(this::decoded);
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
		if (message instanceof LastHttpContent) {
			this.chunkRemaining = -1;
		}
		else if (message instanceof HttpContent content && this.chunkRemaining > 0) {
			this.chunkRemaining -= Math.min(this.chunkRemaining, content.content().readableBytes());
		}
	}

}
