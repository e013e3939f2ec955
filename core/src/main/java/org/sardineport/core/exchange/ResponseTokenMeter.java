package org.sardineport.core.exchange;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * Counts the tokens of a response while it is forwarded: the usage that the engine
 * reports at the end of the response, or else the number of events. Not thread-safe.
 */
public final class ResponseTokenMeter {

	private static final int TAIL_BYTES = 512;

	private static final byte[] EVENT_START = "\ndata:".getBytes(StandardCharsets.US_ASCII);

	private final byte[] tail = new byte[TAIL_BYTES];

	private int tailLength;

	private int matchedBytes = 1;

	private int events;

	private long bytes;

	private ResponseTokenMeter() {
	}

	/**
	 * Returns a meter for a new response, with all counts at zero.
	 * @return the meter
	 */
	public static ResponseTokenMeter create() {
		return new ResponseTokenMeter();
	}

	/**
	 * Processes the next bytes of the response, split at any position.
	 * @param chunk the bytes; position and limit are not changed
	 */
	public void add(ByteBuffer chunk) {
		this.bytes += chunk.remaining();
		countEvents(chunk.duplicate());
		int taken = Math.min(chunk.remaining(), TAIL_BYTES);
		int kept = Math.min(this.tailLength, TAIL_BYTES - taken);
		System.arraycopy(this.tail, this.tailLength - kept, this.tail, 0, kept);
		chunk.duplicate().position(chunk.limit() - taken).get(this.tail, kept, taken);
		this.tailLength = kept + taken;
	}

	/**
	 * Returns the number of bytes processed.
	 * @return the number
	 */
	public long bytes() {
		return this.bytes;
	}

	/**
	 * Returns the tokens of the response.
	 * @return the reported number, or the number of events if none is reported
	 */
	public int answerTokens() {
		int reported = reported("\"completion_tokens\"");
		return (reported > 0) ? reported : this.events;
	}

	/**
	 * Returns the tokens of the prompt.
	 * @return the reported number, or 0 if none is reported
	 */
	public int promptTokens() {
		return reported("\"prompt_tokens\"");
	}

	/**
	 * Returns the tokens of the prompt that were found in the engine's prefix cache.
	 * @return the reported number, or 0 if none is reported
	 */
	public int cachedPromptTokens() {
		return reported("\"cached_tokens\"");
	}

	private void countEvents(ByteBuffer chunk) {
		while (chunk.hasRemaining()) {
			byte next = chunk.get();
			if (next == EVENT_START[this.matchedBytes]) {
				this.matchedBytes++;
			}
			else {
				this.matchedBytes = (next == EVENT_START[0]) ? 1 : 0;
			}
			if (this.matchedBytes == EVENT_START.length) {
				this.events++;
				this.matchedBytes = 0;
			}
		}
	}

	private int reported(String field) {
		return JsonNumbers.firstPositive(this.tail, this.tailLength, field.getBytes(StandardCharsets.US_ASCII));
	}

}
