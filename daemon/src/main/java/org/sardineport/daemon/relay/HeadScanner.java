package org.sardineport.daemon.relay;

import io.netty.buffer.ByteBuf;
import io.netty.util.ByteProcessor;

/**
 * Follows the lines of one head, or of the trailers of one body, before they are decoded:
 * what decoding them will take can be counted before, and lines can be found that the
 * decoder would join. Confined to the event loop.
 */
final class HeadScanner implements ByteProcessor {

	/** Whether blank lines may come before the first line. */
	private final boolean blankLinesMayPrecede;

	/** Scanned bytes that the decoder has not consumed. */
	private int ahead;

	private long bytes;

	private int lines;

	private int blankBytes;

	/** Bytes of the current line. */
	private int lineBytes;

	private boolean carriageReturnOnly;

	private boolean folded;

	private boolean ended;

	private HeadScanner(boolean blankLinesMayPrecede) {
		this.blankLinesMayPrecede = blankLinesMayPrecede;
	}

	/**
	 * Returns a scanner for a start line and its fields.
	 * @return the scanner, before the first byte
	 */
	static HeadScanner ofHead() {
		return new HeadScanner(true);
	}

	/**
	 * Returns a scanner for trailers.
	 * @return the scanner, before the first byte
	 */
	static HeadScanner ofTrailers() {
		return new HeadScanner(false);
	}

	/**
	 * Scans what has arrived since, up to the blank line at the end or a folded line.
	 * @param buffer the bytes that the decoder has not consumed
	 */
	void scan(ByteBuf buffer) {
		// The decoder has not taken the last line for blank if it still waits for the
		// end.
		this.ended = false;
		int from = buffer.readerIndex() + this.ahead;
		int stoppedAt = buffer.forEachByte(from, buffer.writerIndex() - from, this);
		int to = (stoppedAt < 0) ? buffer.writerIndex() : stoppedAt + 1;
		this.ahead = to - buffer.readerIndex();
	}

	/**
	 * Records what the decoder has consumed.
	 * @param number number of bytes
	 */
	void consumed(int number) {
		this.ahead = Math.max(0, this.ahead - number);
	}

	@Override
	public boolean process(byte next) {
		if (this.bytes == 0 && this.blankLinesMayPrecede && next >= 0 && next <= ' ') {
			this.blankBytes++;
			return true;
		}
		this.bytes++;
		if (next == '\n') {
			endLine();
		}
		else if (this.lineBytes == 0 && isBlank(next) && !isFirstLine()) {
			this.folded = true;
		}
		else {
			this.carriageReturnOnly = this.lineBytes == 0 && next == '\r';
			this.lineBytes++;
		}
		return !this.folded && !this.ended;
	}

	private void endLine() {
		this.ended = this.lineBytes == 0 || this.carriageReturnOnly;
		this.lines += this.ended ? 0 : 1;
		this.lineBytes = 0;
		this.carriageReturnOnly = false;
	}

	private boolean isFirstLine() {
		return this.blankLinesMayPrecede && this.lines == 0;
	}

	private static boolean isBlank(byte value) {
		return value == ' ' || value == '\t';
	}

	/**
	 * Returns how many bytes were scanned, from the first line on.
	 * @return the number
	 */
	long bytes() {
		return this.bytes;
	}

	/**
	 * Returns how many lines were scanned, the one in progress included.
	 * @return the number
	 */
	int lines() {
		return this.lines + ((this.lineBytes > 0) ? 1 : 0);
	}

	/**
	 * Returns how many bytes of blank lines came before the first line.
	 * @return the number
	 */
	int blankBytes() {
		return this.blankBytes;
	}

	/**
	 * Returns whether a line begins with a blank, and so continues the one before.
	 * @return whether there is one
	 */
	boolean isFolded() {
		return this.folded;
	}

}
