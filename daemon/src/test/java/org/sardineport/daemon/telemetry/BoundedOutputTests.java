package org.sardineport.daemon.telemetry;

import java.io.ByteArrayOutputStream;
import java.time.Instant;
import java.util.concurrent.Semaphore;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class BoundedOutputTests {

	private final ByteArrayOutputStream target = new ByteArrayOutputStream();

	private Instant now = Instant.parse("2026-01-02T03:04:05.006Z");

	private final BoundedOutput output = BoundedOutput.create(this.target, () -> this.now);

	private void log(EventLevel level, String line) {
		this.output.write(BoundedOutputTests.class, level, line, null);
	}

	@Test
	void writesLinesInOrder() {
		log(EventLevel.INFO, "event=one");
		log(EventLevel.WARN, "event=two");
		assertThat(this.target.size()).isZero();
		this.output.write();
		assertThat(this.target).hasToString("time=2026-01-02T03:04:05.006Z INFO BoundedOutputTests event=one\n"
				+ "time=2026-01-02T03:04:05.006Z WARN BoundedOutputTests event=two\n");
	}

	// The background thread sleeps while there is nothing to write, and must not sleep
	// over a line.
	@Test
	void backgroundThreadWritesEachLine() throws InterruptedException {
		Semaphore written = new Semaphore(0);
		BoundedOutput background = BoundedOutput.create(new ByteArrayOutputStream() {

			@Override
			public void flush() {
				written.release();
			}

		}, () -> this.now);
		Thread writer = background.startWriter();
		for (int i = 0; i < 20; i++) {
			background.write(BoundedOutputTests.class, EventLevel.INFO, "event=line", null);
			written.acquire();
		}
		writer.interrupt();
		writer.join();
	}

	@Test
	void dropsAndCountsOrdinaryLinesButKeepsWarnings() {
		for (int i = 0; i < 20_000; i++) {
			log(EventLevel.INFO, "event=line number=" + i);
		}
		log(EventLevel.ERROR, "event=broken");
		log(EventLevel.WARN, "event=careful");
		this.output.write();
		String written = this.target.toString();
		assertThat(written).contains("event=broken\n")
			.contains("event=careful\n")
			.contains("event=log.left-out lines=")
			.doesNotContain("number=19999");
	}

	@Test
	void writesAnErrorWithItsStackOnOneLine() {
		Throwable cause = new IllegalStateException("one\ntwo");
		this.output.write(BoundedOutputTests.class, EventLevel.ERROR, "event=broken", cause);
		this.output.write();
		assertThat(this.target.toString()).contains("event=broken stack=\"")
			.contains("BoundedOutputTests.writesAnErr")
			.containsOnlyOnce("\n");
	}

	@ParameterizedTest
	@ValueSource(strings = { "1970-01-01T00:00:00Z", "2026-12-31T23:59:59.999Z", "2024-02-29T12:00:00.010Z",
			"2026-04-22T20:40:36.230999Z" })
	void writesTimesInIsoFormat(String time) {
		this.now = Instant.parse(time);
		StringBuilder written = new StringBuilder();
		LogTime.append(written, this.now);
		assertThat(written.length()).isEqualTo("2026-01-02T03:04:05.006Z".length());
		assertThat(Instant.parse(written)).isEqualTo(Instant.ofEpochMilli(this.now.toEpochMilli()));
	}

}
