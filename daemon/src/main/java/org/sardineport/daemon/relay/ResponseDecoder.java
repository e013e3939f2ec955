package org.sardineport.daemon.relay;

import java.io.IOException;
import java.util.List;
import java.util.regex.Pattern;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.AsciiString;

/**
 * HTTP response decoder that rejects each response that may mean something else to its
 * sender: with a status outside 100 to 599, an invalid name of a field or a folded line.
 * A body without a length is only complete if its sender has ended the connection after
 * the whole request was sent; after any other end of the connection it is broken. One
 * request at a time; confined to the event loop of its connection.
 */
final class ResponseDecoder extends HttpResponseDecoder {

	private static final Pattern STATUS = Pattern.compile("[1-5][0-9][0-9]");

	private final RequestWrites writes;

	private HeadScanner head = HeadScanner.ofHead();

	private boolean insideBody;

	/** Whether only the end of the connection ends the body. */
	private boolean endsByClose;

	private boolean rejected;

	/** Whether the sender has ended the connection without an error. */
	private boolean endedBySender;

	/**
	 * Creates the decoder of one connection.
	 * @param maxLineBytes maximum length of a status line
	 * @param maxHeadBytes maximum size of a head
	 * @param maxPartBytes maximum size of a part of a body that is passed on
	 * @param writes the requests that are sent on the connection
	 */
	ResponseDecoder(int maxLineBytes, int maxHeadBytes, int maxPartBytes, RequestWrites writes) {
		super(maxLineBytes, maxHeadBytes, maxPartBytes);
		this.writes = writes;
	}

	@Override
	protected HttpMessage createMessage(String[] initialLine) {
		if (!STATUS.matcher(initialLine[1]).matches()) {
			throw new IllegalArgumentException("the status must be a number from 100 to 599");
		}
		return super.createMessage(initialLine);
	}

	@Override
	protected AsciiString splitHeaderName(byte[] line, int start, int length) {
		FieldName.check(line, start, length);
		return super.splitHeaderName(line, start, length);
	}

	@Override
	protected boolean isContentAlwaysEmpty(HttpMessage message) {
		HttpMethod method = this.writes.method();
		boolean toHead = HttpMethod.HEAD.equals(method);
		boolean connected = HttpMethod.CONNECT.equals(method) && message instanceof HttpResponse response
				&& response.status().code() == HttpResponseStatus.OK.code();
		return toHead || connected || super.isContentAlwaysEmpty(message);
	}

	@Override
	protected void decode(ChannelHandlerContext context, ByteBuf buffer, List<Object> out) throws Exception {
		if (this.rejected) {
			buffer.skipBytes(buffer.readableBytes());
			return;
		}
		if (this.insideBody) {
			int before = out.size();
			super.decode(context, buffer, out);
			recordDecoded(out.subList(before, out.size()));
			return;
		}
		this.head.scan(buffer);
		if (this.head.isFolded()) {
			this.rejected = true;
			buffer.skipBytes(buffer.readableBytes());
			HttpMessage invalid = createInvalidMessage();
			invalid.setDecoderResult(DecoderResult.failure(
					new IllegalArgumentException("a header line begins with a blank, so that it continues another")));
			out.add(invalid);
			return;
		}
		int before = out.size();
		int start = buffer.readerIndex();
		super.decode(context, buffer, out);
		this.head.consumed(buffer.readerIndex() - start);
		recordDecoded(out.subList(before, out.size()));
	}

	private void recordDecoded(List<Object> decoded) {
		for (Object each : decoded) {
			if (each instanceof HttpResponse response) {
				this.insideBody = true;
				this.endsByClose = !HttpUtil.isContentLengthSet(response)
						&& !HttpUtil.isTransferEncodingChunked(response);
				this.head = HeadScanner.ofHead();
			}
			if (each instanceof LastHttpContent) {
				this.insideBody = false;
			}
		}
	}

	// The library takes each end of the connection for the end of such a body.
	@Override
	protected void decodeLast(ChannelHandlerContext context, ByteBuf buffer, List<Object> out) throws Exception {
		int before = out.size();
		boolean isOpen = this.insideBody && this.endsByClose;
		super.decodeLast(context, buffer, out);
		List<Object> decoded = out.subList(before, out.size());
		recordDecoded(decoded);
		boolean ends = isOpen && !decoded.isEmpty() && decoded.get(decoded.size() - 1) instanceof LastHttpContent;
		if (ends && !(this.endedBySender && this.writes.areComplete())) {
			DefaultLastHttpContent broken = new DefaultLastHttpContent();
			broken.setDecoderResult(DecoderResult
				.failure(new IOException("the connection broke before the end of a response without a length")));
			decoded.set(decoded.size() - 1, broken);
		}
	}

	@Override
	public void userEventTriggered(ChannelHandlerContext context, Object event) throws Exception {
		if (!(event instanceof ChannelInputShutdownEvent)) {
			super.userEventTriggered(context, event);
			return;
		}
		if (this.insideBody) {
			this.writes.confirm(context, () -> endOfInput(context, event));
		}
		else {
			endOfInput(context, event);
		}
	}

	private void endOfInput(ChannelHandlerContext context, Object event) {
		try {
			this.endedBySender = true;
			super.userEventTriggered(context, event);
		}
		catch (Exception ex) {
			context.fireExceptionCaught(ex);
		}
		context.close();
	}

}
