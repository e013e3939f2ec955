package org.sardineport.daemon.relay;

import io.vertx.core.buffer.Buffer;

/**
 * Splits a stream of server-sent events at event boundaries, so that callers never
 * receive a partial event, and tracks the identity of the last one. Drops events that the
 * caller has already received. Not safe for use by several threads.
 */
final class EventSplitter {

	private static final byte[] ID_FIELD = { 'i', 'd', ':' };

	/** Maximum number of digits of an identity, so that it fits into 64 bits. */
	private static final int MAX_ID_DIGITS = 18;

	/** Maximum size of an event, in bytes. */
	private static final int MAX_EVENT_BYTES = 1024 * 1024;

	private final long lastReceivedId;

	private Buffer pending = Buffer.buffer();

	private long lastId;

	private int eventCount;

	private boolean lastNamed = true;

	private int idSkips;

	/**
	 * Creates a splitter.
	 * @param lastReceivedId identity of the last event that the caller has received; -1
	 * if none
	 */
	EventSplitter(long lastReceivedId) {
		this.lastReceivedId = lastReceivedId;
		this.lastId = lastReceivedId;
	}

	/**
	 * Adds the next bytes of the stream.
	 * @param bytes the bytes
	 * @return the events that are now complete and new to the caller; may be empty
	 */
	Buffer add(Buffer bytes) {
		int scanFrom = Math.max(0, this.pending.length() - 3);
		this.pending.appendBuffer(bytes);
		Buffer complete = Buffer.buffer();
		int start = 0;
		for (int end = endOfEvent(scanFrom); end >= 0; end = endOfEvent(start)) {
			Buffer event = this.pending.getBuffer(start, end);
			if (accept(event)) {
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

	private boolean accept(Buffer event) {
		if (!hasField(event)) {
			return true;
		}
		long id = idOf(event);
		if (id >= 0 && id <= this.lastReceivedId) {
			return false;
		}
		this.lastNamed = id > this.lastId;
		if (id >= 0) {
			recordId(id);
		}
		this.eventCount++;
		return true;
	}

	private void recordId(long id) {
		if (this.lastId >= 0 && id != this.lastId + 1) {
			this.idSkips++;
		}
		this.lastId = Math.max(this.lastId, id);
	}

	private static long idOf(Buffer event) {
		int line = 0;
		while (line < event.length()) {
			if (isIdField(event, line)) {
				return parseNumber(event, line + ID_FIELD.length);
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

	// Returns -1 if the identity is not a number; a stream cannot be resumed after such
	// an event.
	private static long parseNumber(Buffer event, int from) {
		long number = 0;
		int digits = 0;
		for (int i = from; i < event.length(); i++) {
			byte character = event.getByte(i);
			boolean endOfNumber = character == '\r' || character == '\n' || (character == ' ' && digits > 0);
			if (endOfNumber) {
				break;
			}
			if (character >= '0' && character <= '9' && digits < MAX_ID_DIGITS) {
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
	 * Returns whether the incomplete event exceeds the maximum size.
	 * @return whether to stop reading the stream
	 */
	boolean isTooLong() {
		return this.pending.length() > MAX_EVENT_BYTES;
	}

	/**
	 * Returns the bytes after the last complete event.
	 * @return the bytes; empty if the stream ends at an event boundary
	 */
	Buffer remaining() {
		return this.pending;
	}

	/**
	 * Returns whether the bytes after the last complete event begin another one. Blank
	 * lines and comments do not.
	 * @return whether the stream would end inside an event here
	 */
	boolean isInsideEvent() {
		return hasField(this.pending);
	}

	private static boolean hasField(Buffer lines) {
		int line = 0;
		while (line < lines.length()) {
			byte first = lines.getByte(line);
			if (first != ':' && first != '\r' && first != '\n') {
				return true;
			}
			line = nextLine(lines, line);
		}
		return false;
	}

	/**
	 * Returns the identity of the last event that the caller has, including those
	 * received before this stream.
	 * @return the identity; -1 if there is none
	 */
	long lastId() {
		return this.lastId;
	}

	/**
	 * Returns whether {@link #lastId()} names the last event, so that another backend
	 * server can continue the stream after it.
	 * @return {@code false} if the last event has no identity that is a number, or one
	 * that is not above those before
	 */
	boolean isLastNamed() {
		return this.lastNamed;
	}

	/**
	 * Returns how often the identity of an event was not the one before plus one.
	 * @return the number, without dropped events
	 */
	int idSkips() {
		return this.idSkips;
	}

	/**
	 * Returns the number of events passed on.
	 * @return the number, without dropped events and blocks of comments
	 */
	int eventCount() {
		return this.eventCount;
	}

}
