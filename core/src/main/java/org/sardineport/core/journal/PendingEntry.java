package org.sardineport.core.journal;

import java.time.Instant;
import java.util.Map;

/**
 * An entry on its way to the log and back.
 */
final class PendingEntry {

	/** Bytes of names, numbers and framing in an entry, estimated from above. */
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

	// Whether nobody waits for the entry, so that it may wait for others to share its
	// append.
	boolean isPatient() {
		return this.id.kind() == EntryId.Kind.FINISHED || this.id.kind() == EntryId.Kind.ANSWER_PART;
	}

	void sent() {
		this.place = Place.SENT;
	}

	void notTaken() {
		this.place = Place.QUEUED;
	}

	void taken() {
		this.place = Place.TAKEN;
		this.possiblyInLog = true;
	}

	void doubtful(long newestRead) {
		this.place = Place.DOUBTFUL;
		this.possiblyInLog = true;
		this.doubtfulSinceRead = newestRead;
	}

	// Whether a read that began after the doubt and saw the end did not show the entry.
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
		if (this.entry instanceof JournalEntry.AnswerPart part) {
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
	 * Where the entry is.
	 */
	private enum Place {

		QUEUED, SENT, TAKEN, DOUBTFUL

	}

}
