package org.sardineport.core.journal;

import java.time.Instant;
import java.util.Map;

/**
 * Entry that has not been read back from the log yet, with the state of its append.
 */
final class PendingEntry {

	/** Upper estimate of the bytes of names, numbers and framing in an entry. */
	private static final int FIXED_BYTES = 512;

	private final JournalEntry entry;

	private final EntryId id;

	private final Instant queuedAt;

	private Place place = Place.QUEUED;

	private boolean possiblyInLog;

	private long doubtfulSinceRead;

	private PendingEntry(JournalEntry entry, Instant queuedAt) {
		this.entry = entry;
		this.id = EntryId.of(entry);
		this.queuedAt = queuedAt;
	}

	static PendingEntry of(JournalEntry entry, Instant queuedAt) {
		return new PendingEntry(entry, queuedAt);
	}

	JournalEntry entry() {
		return this.entry;
	}

	EntryId id() {
		return this.id;
	}

	Instant queuedAt() {
		return this.queuedAt;
	}

	boolean isQueued() {
		return this.place == Place.QUEUED;
	}

	boolean isPossiblyInLog() {
		return this.possiblyInLog;
	}

	// Whether no caller waits for the entry, so that it may be delayed to share an append
	// with others.
	boolean isDeferrable() {
		return this.id.kind() == EntryId.Kind.FINISHED || this.id.kind() == EntryId.Kind.ANSWER_PART;
	}

	void markSent() {
		this.place = Place.SENT;
	}

	void markQueued() {
		this.place = Place.QUEUED;
	}

	void markAppended() {
		this.place = Place.TAKEN;
		this.possiblyInLog = true;
	}

	void markDoubtful(long newestRead) {
		this.place = Place.DOUBTFUL;
		this.possiblyInLog = true;
		this.doubtfulSinceRead = newestRead;
	}

	// Whether the entry is in doubt and the given read, which reached the end of the log,
	// began after the append failed, so that the entry was not in the log at that time.
	boolean isMissedBy(long read) {
		return this.place == Place.DOUBTFUL && read > this.doubtfulSinceRead;
	}

	boolean isDoubtful() {
		return this.place == Place.DOUBTFUL;
	}

	int bytes() {
		if (this.entry instanceof JournalEntry.Accepted accepted && accepted.request() != null) {
			return FIXED_BYTES + accepted.request().body().length + 2 * textLength(accepted.request());
		}
		if (this.entry instanceof JournalEntry.ResponsePart part) {
			return FIXED_BYTES + part.part().length;
		}
		if (this.entry instanceof JournalEntry.Finished finished) {
			return FIXED_BYTES + finished.lastPart().length + textLength(finished.headers());
		}
		return FIXED_BYTES;
	}

	@Override
	public String toString() {
		return this.id.token() + ':' + this.id.kind() + ':' + this.id.number() + ':' + this.place;
	}

	private static int textLength(KeyedRequest request) {
		return request.pathAndQuery().length() + textLength(request.headers());
	}

	private static int textLength(Map<String, String> headers) {
		return headers.entrySet()
			.stream()
			.mapToInt((header) -> header.getKey().length() + header.getValue().length())
			.sum();
	}

	/**
	 * State of the append.
	 */
	private enum Place {

		QUEUED, SENT, TAKEN, DOUBTFUL

	}

}
