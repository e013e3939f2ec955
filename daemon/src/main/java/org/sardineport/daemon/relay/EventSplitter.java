package org.sardineport.daemon.relay;

import java.nio.charset.StandardCharsets;

import io.vertx.core.buffer.Buffer;

/**
 * Cuts a stream of events at the ends of events, so that callers never get a part of one,
 * and knows the identity of the last. Drops events that the caller has. Not safe for use
 * by several threads.
 */
final class EventSplitter {

	private static final String ID_FIELD = "id:";

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
		for (String line : event.toString(StandardCharsets.ISO_8859_1).split("\r?\n")) {
			if (line.startsWith(ID_FIELD)) {
				return parse(line.substring(ID_FIELD.length()).strip());
			}
		}
		return -1;
	}

	private static long parse(String id) {
		try {
			return Long.parseLong(id);
		}
		catch (NumberFormatException ex) {
			// An event whose identity is no number cannot be resumed after.
			return -1;
		}
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
