package org.sardineport.bench.response;

import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.function.Supplier;

import com.github.rvesse.airline.annotations.Command;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandler;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.util.ReferenceCountUtil;
import org.sardineport.bench.Measurement;
import org.sardineport.daemon.relay.ResponseParts;

/**
 * Measures what one part of a chunked response costs before the relay sees it, with and
 * without joining parts, and how many parts the relay has to handle for each read.
 */
@Command(name = "parts", description = "Cost of the parts of a response, by their size")
public final class ResponsePartsMeasurement implements Measurement {

	/** Greatest acceptable number of messages for each read. */
	private static final double MESSAGES_TARGET = 2;

	private static final int[] SIZES = { 1, 50, 200, 500 };

	private static final int PARTS_OF_READ = 100;

	private static final int READS = 40_000;

	private static final String HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

	@Override
	public boolean run() {
		System.out.println("part_bytes,plain_ns,joined_ns,plain_messages,joined_messages");
		boolean met = true;
		for (int size : SIZES) {
			run(size, ResponsePartsMeasurement::plain);
			run(size, ResponsePartsMeasurement::joining);
			Cost plain = run(size, ResponsePartsMeasurement::plain);
			Cost joined = run(size, ResponsePartsMeasurement::joining);
			System.out.printf(Locale.ROOT, "%d,%.0f,%.0f,%.1f,%.1f%n", size, plain.nanosOfPart(), joined.nanosOfPart(),
					plain.messagesOfRead(), joined.messagesOfRead());
			met &= joined.messagesOfRead() <= MESSAGES_TARGET;
		}
		System.out
			.println("messages for each read at most %.0f: %s".formatted(MESSAGES_TARGET, met ? "met" : "MISSED"));
		return met;
	}

	private static EmbeddedChannel plain() {
		return new EmbeddedChannel(new HttpResponseDecoder());
	}

	private static EmbeddedChannel joining() {
		ChannelHandler parts = ResponseParts.handler();
		return new EmbeddedChannel(new HttpResponseDecoder(), parts);
	}

	// An event ends every 16 bytes, so that no response ends as malformed.
	private static String read(int size) {
		StringBuilder read = new StringBuilder();
		String events = "data: 12345678\n\n".repeat(size);
		for (int i = 0; i < PARTS_OF_READ; i++) {
			int from = i * size % 16;
			read.append(Integer.toHexString(size)).append("\r\n").append(events, from, from + size).append("\r\n");
		}
		return read.toString();
	}

	private static Cost run(int size, Supplier<EmbeddedChannel> channels) {
		EmbeddedChannel channel = channels.get();
		channel.writeInbound(Unpooled.copiedBuffer(HEAD, StandardCharsets.US_ASCII));
		release(channel);
		ByteBuf read = Unpooled.copiedBuffer(read(size), StandardCharsets.US_ASCII);
		long messages = 0;
		long before = System.nanoTime();
		for (int i = 0; i < READS; i++) {
			channel.writeInbound(read.retainedDuplicate());
			messages += release(channel);
		}
		double nanos = System.nanoTime() - before;
		channel.finishAndReleaseAll();
		return new Cost(nanos / READS / PARTS_OF_READ, (double) messages / READS);
	}

	private static int release(EmbeddedChannel channel) {
		int released = 0;
		for (Object next = channel.readInbound(); next != null; next = channel.readInbound()) {
			ReferenceCountUtil.release(next);
			released++;
		}
		return released;
	}

}
