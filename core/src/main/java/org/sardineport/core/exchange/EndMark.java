package org.sardineport.core.exchange;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Map;

import org.sardineport.core.backend.BackendKind;

/**
 * Tells whether an answer whose transfer has ended is whole. A length or a last chunk is
 * checked by the HTTP library; streams of events from model engines must also carry their
 * final event, and an answer that only the closing of its connection ends is never whole.
 * Not safe for use by several threads at once.
 */
public final class EndMark {

	private static final byte[] FINAL_EVENT = "data: [DONE]".getBytes(StandardCharsets.US_ASCII);

	/** Bytes kept of the end of a stream: the final event and blank lines after it. */
	private static final int TAIL_BYTES = 32;

	private final boolean framed;

	private final boolean finalEventWanted;

	private final byte[] tail = new byte[TAIL_BYTES];

	private int tailLength;

	private EndMark(boolean framed, boolean finalEventWanted) {
		this.framed = framed;
		this.finalEventWanted = finalEventWanted;
	}

	/**
	 * Returns the check for one answer.
	 * @param kind kind of the backend server
	 * @param status status of the answer
	 * @param headers header fields of the answer, hop-by-hop fields included
	 * @return the check
	 */
	public static EndMark of(BackendKind kind, int status, List<Map.Entry<String, String>> headers) {
		boolean bodiless = status == 204 || status == 304;
		boolean framed = bodiless || has(headers, "content-length", "") || has(headers, "transfer-encoding", "chunked");
		boolean events = kind == BackendKind.MODEL_ENGINE && status == 200
				&& has(headers, "content-type", "text/event-stream");
		return new EndMark(framed, events);
	}

	/**
	 * Takes the next bytes of the answer.
	 * @param bytes the bytes; position and limit are not changed
	 */
	public void add(ByteBuffer bytes) {
		if (!this.finalEventWanted) {
			return;
		}
		int taken = Math.min(bytes.remaining(), TAIL_BYTES);
		int kept = Math.min(this.tailLength, TAIL_BYTES - taken);
		System.arraycopy(this.tail, this.tailLength - kept, this.tail, 0, kept);
		bytes.duplicate().position(bytes.limit() - taken).get(this.tail, kept, taken);
		this.tailLength = kept + taken;
	}

	/**
	 * Returns whether the answer is whole, now that its transfer has ended.
	 * @return whether its end mark has come
	 */
	public boolean isWhole() {
		return this.framed && (!this.finalEventWanted || endsWithFinalEvent());
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
