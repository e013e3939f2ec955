package org.sardineport.core.exchange;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against token counts that depend on how a response is split into chunks.
 */
class ResponseTokenMeterTests {

	private static final String STREAM = "data: a\n\ndata: b\n\ndata: c\n\n";

	private static final String USAGE = "data: {\"usage\":{\"prompt_tokens\":40,\"completion_tokens\":2,"
			+ "\"prompt_tokens_details\":{\"cached_tokens\":30}}}\n\ndata: [DONE]\n\n";

	@Test
	void countsEventsWhenEngineReportsNoUsage() {
		for (int size = 1; size <= STREAM.length(); size++) {
			assertThat(metered(STREAM, size).answerTokens()).as("chunks of %d bytes", size).isEqualTo(3);
		}
	}

	@Test
	void prefersUsageReportedByEngine() {
		for (int size = 1; size <= 64; size++) {
			ResponseTokenMeter meter = metered(STREAM.repeat(50) + USAGE, size);
			assertThat(meter.answerTokens()).isEqualTo(2);
			assertThat(meter.promptTokens()).isEqualTo(40);
			assertThat(meter.cachedPromptTokens()).isEqualTo(30);
		}
	}

	private static ResponseTokenMeter metered(String text, int size) {
		byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
		ResponseTokenMeter meter = ResponseTokenMeter.create();
		for (int from = 0; from < bytes.length; from += size) {
			meter.add(ByteBuffer.wrap(bytes, from, Math.min(size, bytes.length - from)));
		}
		assertThat(meter.bytes()).isEqualTo(bytes.length);
		return meter;
	}

}
