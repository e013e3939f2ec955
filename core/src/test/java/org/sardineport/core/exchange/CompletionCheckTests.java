package org.sardineport.core.exchange;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.sardineport.core.backend.BackendKind;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against treating a truncated response as complete, regardless of how it is split
 * into chunks.
 */
class CompletionCheckTests {

	private static final Map.Entry<String, String> CHUNKED = Map.entry("Transfer-Encoding", "chunked");

	private static final Map.Entry<String, String> EVENTS = Map.entry("Content-Type",
			"text/event-stream; charset=utf-8");

	private static final Map.Entry<String, String> LENGTH = Map.entry("content-length", "10");

	/**
	 * Responses with different ends, and whether they are complete.
	 */
	enum Response {

		LENGTH_REACHED(BackendKind.PLAIN_SERVICE, 200, List.of(LENGTH), "0123456789", true),
		LAST_CHUNK(BackendKind.PLAIN_SERVICE, 200, List.of(CHUNKED), "any", true),
		CLOSED_CONNECTION_ONLY(BackendKind.PLAIN_SERVICE, 200, List.of(), "any", false),
		NO_CONTENT(BackendKind.PLAIN_SERVICE, 204, List.of(), "", true),
		EVENTS_OF_A_SERVICE(BackendKind.PLAIN_SERVICE, 200, List.of(CHUNKED, EVENTS), "data: x\n\n", true),
		FINAL_EVENT(BackendKind.MODEL_ENGINE, 200, List.of(CHUNKED, EVENTS), "data: x\n\ndata: [DONE]\n\n", true),
		FINAL_EVENT_WITH_CRLF(BackendKind.MODEL_ENGINE, 200, List.of(CHUNKED, EVENTS),
				"data: x\r\n\r\ndata: [DONE]\r\n\r\n", true),
		NO_FINAL_EVENT(BackendKind.MODEL_ENGINE, 200, List.of(CHUNKED, EVENTS), "data: x\n\n", false),
		NO_EVENT(BackendKind.MODEL_ENGINE, 200, List.of(CHUNKED, EVENTS), "", false),
		PARTIAL_FINAL_EVENT(BackendKind.MODEL_ENGINE, 200, List.of(CHUNKED, EVENTS), "data: x\n\ndata: [DO", false),
		UNTERMINATED_FINAL_EVENT(BackendKind.MODEL_ENGINE, 200, List.of(CHUNKED, EVENTS), "data: x\n\ndata: [DONE]",
				false),
		FINAL_EVENT_NOT_LAST(BackendKind.MODEL_ENGINE, 200, List.of(CHUNKED, EVENTS), "data: [DONE]\n\ndata: more\n\n",
				false),
		ENGINE_ERROR_RESPONSE(BackendKind.MODEL_ENGINE, 400, List.of(LENGTH, EVENTS), "data: bad\n", true);

		private final BackendKind kind;

		private final int status;

		private final List<Map.Entry<String, String>> headers;

		private final String body;

		private final boolean complete;

		Response(BackendKind kind, int status, List<Map.Entry<String, String>> headers, String body, boolean complete) {
			this.kind = kind;
			this.status = status;
			this.headers = headers;
			this.body = body;
			this.complete = complete;
		}

	}

	@ParameterizedTest
	@EnumSource
	void detectsCompleteResponses(Response response) {
		byte[] bytes = response.body.getBytes(StandardCharsets.UTF_8);
		for (int size = 1; size <= Math.max(1, bytes.length); size++) {
			CompletionCheck check = CompletionCheck.of(response.kind, "POST", response.status, response.headers);
			for (int from = 0; from < bytes.length; from += size) {
				check.add(ByteBuffer.wrap(bytes, from, Math.min(size, bytes.length - from)));
			}
			assertThat(check.isComplete()).as("chunks of %d bytes", size).isEqualTo(response.complete);
		}
	}

}
