package org.sardineport.core.exchange;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * Counts the tokens of an answer as it passes: by the usage that an engine reports at its
 * end, or else by its events. Not safe for use by several threads at once.
 */
public final class AnswerMeter {

	private static final int TAIL_BYTES = 512;

	private static final byte[] EVENT = "\ndata:".getBytes(StandardCharsets.US_ASCII);

	private final byte[] tail = new byte[TAIL_BYTES];

	private int tailLength;

	private int matched = 1;

	private int events;

	private long bytes;

	private AnswerMeter() {
	}

	/**
	 * Returns a meter at zero.
	 * @return the meter
	 */
	public static AnswerMeter create() {
		return new AnswerMeter();
	}

	/**
	 * Takes the next bytes of the answer.
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
	 * Returns the bytes seen.
	 * @return the number
	 */
	public long bytes() {
		return this.bytes;
	}

	/**
	 * Returns the tokens of the answer.
	 * @return the number reported, or else the number of events
	 */
	public int answerTokens() {
		int reported = reported("\"completion_tokens\"");
		return (reported > 0) ? reported : this.events;
	}

	/**
	 * Returns the tokens of the prompt.
	 * @return the number reported, or 0
	 */
	public int promptTokens() {
		return reported("\"prompt_tokens\"");
	}

	/**
	 * Returns the tokens of the prompt that came from the engine's cache.
	 * @return the number reported, or 0
	 */
	public int cachedPromptTokens() {
		return reported("\"cached_tokens\"");
	}

	private void countEvents(ByteBuffer chunk) {
		while (chunk.hasRemaining()) {
			byte next = chunk.get();
			if (next == EVENT[this.matched]) {
				this.matched++;
			}
			else {
				this.matched = (next == EVENT[0]) ? 1 : 0;
			}
			if (this.matched == EVENT.length) {
				this.events++;
				this.matched = 0;
			}
		}
	}

	private int reported(String field) {
		return JsonNumbers.firstAfter(this.tail, this.tailLength, field.getBytes(StandardCharsets.US_ASCII));
	}

}
