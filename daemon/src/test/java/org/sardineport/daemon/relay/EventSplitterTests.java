package org.sardineport.daemon.relay;

import java.util.SplittableRandom;

import io.vertx.core.buffer.Buffer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class EventSplitterTests {

	private static String event(int id, String lineEnd) {
		return "id: " + id + lineEnd + "data: d" + id + lineEnd + lineEnd;
	}

	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4 })
	void passesOnAllEventsWholeWhereverStreamIsSplit(long seed) {
		SplittableRandom random = new SplittableRandom(seed);
		String lineEnd = (seed % 2 == 0) ? "\n" : "\r\n";
		StringBuilder all = new StringBuilder();
		for (int i = 1; i <= 200; i++) {
			all.append(event(i, lineEnd));
		}
		EventSplitter splitter = new EventSplitter(-1);
		StringBuilder passed = new StringBuilder();
		for (int at = 0; at < all.length();) {
			int next = Math.min(all.length(), at + random.nextInt(1, 60));
			String complete = splitter.add(Buffer.buffer(all.substring(at, next))).toString();
			assertThat(complete.isEmpty() || complete.endsWith(lineEnd + lineEnd)).isTrue();
			passed.append(complete);
			at = next;
		}
		assertThat(passed).hasToString(all.toString());
		assertThat(splitter.lastId()).isEqualTo(200);
		assertThat(splitter.eventCount()).isEqualTo(200);
		assertThat(splitter.remaining().length()).isZero();
	}

	@Test
	void dropsEventsThatCallerHasReceived() {
		EventSplitter splitter = new EventSplitter(3);
		String passed = splitter.add(Buffer.buffer(event(2, "\n") + event(3, "\n") + event(4, "\n"))).toString();
		assertThat(passed).isEqualTo(event(4, "\n"));
	}

	@Test
	void holdsBackPartialEvent() {
		EventSplitter splitter = new EventSplitter(-1);
		assertThat(splitter.add(Buffer.buffer(event(1, "\n") + "id: 2\nda")).toString()).isEqualTo(event(1, "\n"));
		assertThat(splitter.lastId()).isEqualTo(1);
		assertThat(splitter.remaining().toString()).isEqualTo("id: 2\nda");
	}

	@ParameterizedTest
	@ValueSource(strings = { "id: x", "id:", "id", "id: 1x", "id: -7", "id: 99999999999999999999", "x: 7" })
	void ignoresIdentityThatIsNotANumber(String line) {
		EventSplitter splitter = new EventSplitter(3);
		assertThat(splitter.add(Buffer.buffer(line + "\ndata: y\n\n")).length()).isPositive();
		assertThat(splitter.lastId()).isEqualTo(3);
	}

	@ParameterizedTest
	@ValueSource(strings = { "id: 7", "id:7", "id:  7 ", "data: y\nid: 7", "data: y\r\nid: 7\r" })
	void readsIdentityFromAnyLineOfEvent(String lines) {
		EventSplitter splitter = new EventSplitter(3);
		splitter.add(Buffer.buffer(lines + "\n\n"));
		assertThat(splitter.lastId()).isEqualTo(7);
	}

	@Test
	void reportsUnterminatedEventAsTooLong() {
		EventSplitter splitter = new EventSplitter(-1);
		Buffer line = Buffer.buffer("data: " + "x".repeat(100_000) + "\n");
		for (int i = 0; i < 10; i++) {
			splitter.add(line);
		}
		assertThat(splitter.isTooLong()).isFalse();
		splitter.add(line);
		assertThat(splitter.isTooLong()).isTrue();
	}

	@Test
	void passesOnEventWithoutIdentity() {
		EventSplitter splitter = new EventSplitter(5);
		assertThat(splitter.add(Buffer.buffer("data: x\n\n")).toString()).isEqualTo("data: x\n\n");
		assertThat(splitter.lastId()).isEqualTo(5);
	}

}
