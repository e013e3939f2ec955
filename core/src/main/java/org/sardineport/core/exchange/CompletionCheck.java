package org.sardineport.core.exchange;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Map;

import org.sardineport.core.backend.BackendKind;

/**
 * Decides whether a response whose transfer has ended is complete. The HTTP library
 * checks the content length or the last chunk. Event streams of model engines must also
 * end with their final event. A response delimited only by the close of its connection is
 * never complete. Not thread-safe.
 */
public final class CompletionCheck {

	private static final byte[] FINAL_EVENT = "data: [DONE]".getBytes(StandardCharsets.US_ASCII);

	/**
	 * Number of bytes retained from the end of a stream: the final event and trailing
	 * blank lines.
	 */
	private static final int TAIL_BYTES = 32;

	private final ResponseFraming framing;

	private final boolean finalEventRequired;

	private final byte[] tail = new byte[TAIL_BYTES];

	private int tailLength;

	private CompletionCheck(ResponseFraming framing, boolean finalEventRequired) {
		this.framing = framing;
		this.finalEventRequired = finalEventRequired;
	}

	/**
	 * Returns a check for one response.
	 * @param kind kind of the backend server
	 * @param method method of the request
	 * @param status status of the response
	 * @param headers header fields of the response, including hop-by-hop fields
	 * @return the check
	 */
	public static CompletionCheck of(BackendKind kind, String method, int status,
			List<Map.Entry<String, String>> headers) {
		ResponseFraming framing = ResponseFraming.of(method, status, has(headers, "transfer-encoding", "chunked"),
				has(headers, "content-length", ""));
		boolean eventStream = kind == BackendKind.MODEL_ENGINE && status == 200
				&& has(headers, "content-type", "text/event-stream");
		return new CompletionCheck(framing, eventStream);
	}

	/**
	 * Processes the next bytes of the response, split at any position.
	 * @param bytes the bytes; position and limit are not changed
	 */
	public void add(ByteBuffer bytes) {
		if (!this.finalEventRequired) {
			return;
		}
		int taken = Math.min(bytes.remaining(), TAIL_BYTES);
		int kept = Math.min(this.tailLength, TAIL_BYTES - taken);
		System.arraycopy(this.tail, this.tailLength - kept, this.tail, 0, kept);
		bytes.duplicate().position(bytes.limit() - taken).get(this.tail, kept, taken);
		this.tailLength = kept + taken;
	}

	/**
	 * Returns whether the response is complete. Called after its transfer has ended.
	 * @return {@code true} if the response was delimited and carried its terminator
	 */
	public boolean isComplete() {
		ResponseEnd end = this.framing.statesEnd() ? ResponseEnd.STATED : ResponseEnd.CLOSED;
		return end.judge(contentEnd()) == Completeness.COMPLETE;
	}

	private ContentEnd contentEnd() {
		if (!this.finalEventRequired) {
			return ContentEnd.OPAQUE;
		}
		return endsWithFinalEvent() ? ContentEnd.AFTER_EVENT : ContentEnd.INSIDE_EVENT;
	}

	private boolean endsWithFinalEvent() {
		int end = this.tailLength;
		while (end > 0 && (this.tail[end - 1] == '\n' || this.tail[end - 1] == '\r')) {
			end--;
		}
		return end < this.tailLength && end >= FINAL_EVENT.length
				&& ByteBuffer.wrap(this.tail, end - FINAL_EVENT.length, FINAL_EVENT.length)
					.equals(ByteBuffer.wrap(FINAL_EVENT));
	}

	private static boolean has(List<Map.Entry<String, String>> headers, String name, String value) {
		return headers.stream()
			.anyMatch((field) -> field.getKey().equalsIgnoreCase(name)
					&& field.getValue().toLowerCase(Locale.ROOT).contains(value));
	}

}
