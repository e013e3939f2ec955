package org.sardineport.daemon.relay;

import io.vertx.core.buffer.Buffer;

/**
 * Cuts a stream of events at the ends of events, so that callers never get a part of one,
 * and knows the identity of the last. Drops events that the caller has. Not safe for use
 * by several threads.
 */
final class EventSplitter {

	private static final byte[] ID_FIELD = { 'i', 'd', ':' };

	/** Digits of an identity, so that it fits into 64 bits. */
	private static final int MOST_DIGITS = 18;

	/** Largest event, in bytes. */
	private static final int MOST_EVENT_BYTES = 1024 * 1024;

	private final long after;

	private Buffer pending = Buffer.buffer();

	private long lastId;

	private int events;

	/**
	 * Creates a splitter.
	 * @param after identity of the last event that the caller has; -1 if it has none
	 */
	EventSplitter(long after) {
		this.after = after;
		this.lastId = after;
	}

	/**
	 * Takes bytes.
	 * @param bytes the bytes
	 * @return the events that are complete now and new to the caller; may be empty
	 */
	Buffer add(Buffer bytes) {
		int scanFrom = Math.max(0, this.pending.length() - 3);
		this.pending.appendBuffer(bytes);
		Buffer complete = Buffer.buffer();
		int start = 0;
		for (int end = endOfEvent(scanFrom); end >= 0; end = endOfEvent(start)) {
			Buffer event = this.pending.getBuffer(start, end);
			if (take(event)) {
				complete.appendBuffer(event);
			}
			start = end;
		}
		if (start > 0) {
			this.pending = this.pending.getBuffer(start, this.pending.length());
		}
		return complete;
	}

	private int endOfEvent(int from) {
		for (int i = from; i + 1 < this.pending.length(); i++) {
			if (this.pending.getByte(i) != '\n') {
				continue;
			}
			if (this.pending.getByte(i + 1) == '\n') {
				return i + 2;
			}
			if (i + 2 < this.pending.length() && this.pending.getByte(i + 1) == '\r'
					&& this.pending.getByte(i + 2) == '\n') {
				return i + 3;
			}
		}
		return -1;
	}

	private boolean take(Buffer event) {
		long id = idOf(event);
		if (id >= 0 && id <= this.after) {
			return false;
		}
		if (id >= 0) {
			this.lastId = id;
		}
		this.events++;
		return true;
	}

	private static long idOf(Buffer event) {
		int line = 0;
		while (line < event.length()) {
			if (isIdField(event, line)) {
				return number(event, line + ID_FIELD.length);
			}
			line = nextLine(event, line);
		}
		return -1;
	}

	private static boolean isIdField(Buffer event, int line) {
		if (line + ID_FIELD.length > event.length()) {
			return false;
		}
		for (int i = 0; i < ID_FIELD.length; i++) {
			if (event.getByte(line + i) != ID_FIELD[i]) {
				return false;
			}
		}
		return true;
	}

	private static int nextLine(Buffer event, int from) {
		int at = from;
		while (at < event.length() && event.getByte(at) != '\n') {
			at++;
		}
		return at + 1;
	}

	// An event whose identity is no number cannot be resumed after.
	private static long number(Buffer event, int from) {
		long number = 0;
		int digits = 0;
		for (int i = from; i < event.length(); i++) {
			byte character = event.getByte(i);
			boolean over = character == '\r' || character == '\n' || (character == ' ' && digits > 0);
			if (over) {
				break;
			}
			if (character >= '0' && character <= '9' && digits < MOST_DIGITS) {
				number = 10 * number + character - '0';
				digits++;
			}
			else if (character != ' ') {
				return -1;
			}
		}
		return (digits > 0) ? number : -1;
	}

	/**
	 * Returns whether the event that is not complete yet is longer than any should be.
	 * @return whether no more of it should be read
	 */
	boolean isTooLong() {
		return this.pending.length() > MOST_EVENT_BYTES;
	}

	/**
	 * Returns the bytes after the last complete event.
	 * @return the bytes; empty if the stream ended with an event
	 */
	Buffer rest() {
		return this.pending;
	}

	/**
	 * Returns the identity of the last event taken.
	 * @return the identity; -1 if there was none
	 */
	long lastId() {
		return this.lastId;
	}

	/**
	 * Returns how many events were taken.
	 * @return the number
	 */
	int events() {
		return this.events;
	}

}
