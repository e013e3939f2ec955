package org.sardineport.daemon.relay;

import java.nio.charset.StandardCharsets;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link HeadScanner}.
 */
class HeadScannerTests {

	private static ByteBuf bytes(String text) {
		return Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1);
	}

	private static HeadScanner scanned(HeadScanner scanner, String text) {
		scanner.scan(bytes(text));
		return scanner;
	}

	@ParameterizedTest
	@ValueSource(strings = { "GET / HTTP/1.1\r\na: b\r\nc: d\r\n\r\n folded: of the body\r\n",
			"GET / HTTP/1.1\na: b\nc: d\n\n body" })
	void stopsAtTheBlankLine(String text) {
		HeadScanner scanner = scanned(HeadScanner.ofHead(), text);
		assertThat(scanner.lines()).isEqualTo(3);
		assertThat(scanner.isFolded()).isFalse();
	}

	@ParameterizedTest
	@ValueSource(strings = { "GET / HTTP/1.1\r\n a: b\r\n", "GET / HTTP/1.1\r\na: b\r\n c\r\n",
			"GET / HTTP/1.1\na: b\n\tc\n", "GET / HTTP/1.1\r\na: b\r\n " })
	void findsFoldedLines(String text) {
		assertThat(scanned(HeadScanner.ofHead(), text).isFolded()).isTrue();
	}

	@Test
	void findsFoldedLinesBetweenTwoReads() {
		HeadScanner scanner = HeadScanner.ofHead();
		ByteBuf buffer = bytes("GET / HTTP/1.1\r\na: b\r\n");
		scanner.scan(buffer);
		scanner.consumed(buffer.readableBytes());
		buffer.clear().writeBytes(bytes(" c"));
		scanner.scan(buffer);
		assertThat(scanner.isFolded()).isTrue();
	}

	@Test
	void countsEachByteOnceWhateverTheDecoderHasConsumed() {
		HeadScanner scanner = HeadScanner.ofHead();
		ByteBuf buffer = Unpooled.buffer();
		String text = "GET / HTTP/1.1\r\na: b\r\nc";
		for (char next : text.toCharArray()) {
			buffer.writeByte(next);
			scanner.scan(buffer);
			if (next == '\n') {
				scanner.consumed(buffer.readableBytes());
				buffer.skipBytes(buffer.readableBytes());
			}
		}
		assertThat(scanner.bytes()).isEqualTo(text.length());
		assertThat(scanner.lines()).isEqualTo(3);
	}

	@Test
	void countsBlankLinesBeforeARequest() {
		HeadScanner scanner = scanned(HeadScanner.ofHead(), "\r\n\r\n");
		assertThat(scanner.blankBytes()).isEqualTo(4);
		assertThat(scanner.bytes()).isZero();
	}

	@Test
	void goesOnBehindALineThatTheDecoderDoesNotTakeForBlank() {
		HeadScanner scanner = HeadScanner.ofHead();
		ByteBuf buffer = bytes("GET / HTTP/1.1\r\n\r\na:\r\nb:\r\n");
		scanner.scan(buffer);
		scanner.scan(buffer);
		assertThat(scanner.lines()).isEqualTo(3);
	}

	@Test
	void firstTrailerMayBeFoldedAsWell() {
		assertThat(scanned(HeadScanner.ofTrailers(), " a: b\r\n").isFolded()).isTrue();
		assertThat(scanned(HeadScanner.ofTrailers(), "a: b\r\n\r\n").lines()).isEqualTo(1);
	}

}
