package org.sardineport.daemon.relay;

import java.util.List;
import java.util.regex.Pattern;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.AsciiString;

/**
 * HTTP response decoder that rejects each response that may mean something else to its
 * sender: with a status outside 100 to 599, an invalid name of a field or a folded line.
 * One request at a time; confined to the event loop of its connection.
 */
final class ResponseDecoder extends HttpResponseDecoder {

	private static final Pattern STATUS = Pattern.compile("[1-5][0-9][0-9]");

	private final RequestWrites writes;

	private HeadScanner head = HeadScanner.ofHead();

	private boolean insideBody;

	private boolean rejected;

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
			if (each instanceof HttpResponse) {
				this.insideBody = true;
				this.head = HeadScanner.ofHead();
			}
			if (each instanceof LastHttpContent) {
				this.insideBody = false;
			}
		}
	}

}
