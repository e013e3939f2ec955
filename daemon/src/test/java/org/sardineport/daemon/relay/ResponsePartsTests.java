package org.sardineport.daemon.relay;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class ResponsePartsTests {

	private static final String HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

	private static final String CONTINUE = "HTTP/1.1 100 Continue\r\n\r\n";

	private static final String END = "0\r\n\r\n";

	private final ReadSize readSize = ReadSize.ofResponses();

	private final EmbeddedChannel channel = new EmbeddedChannel(new HttpResponseDecoder(),
			new ResponseParts(this.readSize));

	private final List<String> parts = new ArrayList<>();

	private int heads;

	private int ends;

	private boolean malformed;

	private void read(String bytes) {
		this.channel.writeInbound(Unpooled.copiedBuffer(bytes, StandardCharsets.ISO_8859_1));
		for (HttpObject next = this.channel.readInbound(); next != null; next = this.channel.readInbound()) {
			passedOn(next);
		}
	}

	private void passedOn(HttpObject next) {
		if (next instanceof HttpResponse) {
			this.heads++;
		}
		if (next instanceof LastHttpContent) {
			this.ends++;
		}
		this.malformed |= next.decoderResult().isFailure();
		if (next instanceof HttpContent content) {
			passedOn(content.content());
			content.release();
		}
	}

	private void passedOn(ByteBuf bytes) {
		if (bytes.isReadable()) {
			this.parts.add(bytes.toString(StandardCharsets.ISO_8859_1));
		}
	}

	private static String chunk(String content) {
		return Integer.toHexString(content.length()) + "\r\n" + content + "\r\n";
	}

	@Test
	void joinsSmallPartsOfOneReadInOrder() {
		read(HEAD + chunk("a") + chunk("bc") + chunk("d".repeat(3000)) + chunk("e") + chunk("f"));
		assertThat(this.parts).containsExactly("abc", "d".repeat(3000), "ef");
	}

	@Test
	void keepsNothingForTheNextRead() {
		read(HEAD + chunk("a"));
		read(chunk("b") + END);
		assertThat(this.parts).containsExactly("a", "b");
		assertThat(this.ends).isOne();
	}

	@Test
	void endsAResponseWithTooManyInterimHeads() {
		read(CONTINUE.repeat(1000));
		assertThat(this.malformed).isTrue();
		assertThat(this.heads).isEqualTo(ResponseParts.MAX_INTERIM_HEADS);
	}

	@Test
	void countsInterimHeadsOfEachResponseAnew() {
		for (int i = 0; i < 5; i++) {
			read(CONTINUE.repeat(ResponseParts.MAX_INTERIM_HEADS) + HEAD + chunk("a") + END);
		}
		assertThat(this.malformed).isFalse();
		assertThat(this.parts).hasSize(5);
	}

	@ParameterizedTest
	@ValueSource(strings = { "a", "\n", "aaaaaaaa" })
	void endsAResponseOfTinyPartsOnly(String part) {
		read(HEAD + chunk(part).repeat(ResponseParts.MAX_TINY_PARTS));
		assertThat(this.malformed).isFalse();
		read(chunk(part).repeat(20));
		assertThat(this.malformed).isTrue();
		read(chunk(part).repeat(20));
		assertThat(String.join("", this.parts)).hasSize(ResponseParts.MAX_TINY_PARTS * part.length());
	}

	@Test
	void passesOnEventsInPartsOfOneByte() {
		String event = chunk("i") + chunk("d") + chunk(":") + chunk("1") + chunk("\n") + chunk("\n");
		read(HEAD + event.repeat(ResponseParts.MAX_TINY_PARTS) + END);
		assertThat(this.malformed).isFalse();
		assertThat(String.join("", this.parts)).isEqualTo("id:1\n\n".repeat(ResponseParts.MAX_TINY_PARTS));
	}

	@Test
	void passesOnATrickleOfTinyParts() {
		read(HEAD);
		for (int i = 0; i <= ResponseParts.MAX_TINY_PARTS; i++) {
			read(chunk("a") + chunk("b"));
		}
		assertThat(this.malformed).isFalse();
	}

	@Test
	void readsLessAfterAReadOfManyParts() {
		int before = this.readSize.bytes();
		read(HEAD + chunk("a").repeat(2 * ReadSize.MAX_PARTS));
		assertThat(this.readSize.bytes()).isLessThanOrEqualTo(before / 2 + 1);
	}

	@Test
	void passesNothingOnAfterTheConnectionWasClosed() {
		String large = "d".repeat(3000);
		this.channel.pipeline().addLast(new ChannelInboundHandlerAdapter() {

			@Override
			public void channelRead(ChannelHandlerContext context, Object message) {
				context.fireChannelRead(message);
				if (message instanceof HttpContent) {
					context.channel().close();
				}
			}

		});
		read(HEAD + chunk(large) + chunk(large) + chunk("a"));
		assertThat(this.parts).containsExactly(large);
	}

}
