package org.sardineport.core.journal;

import java.nio.ByteBuffer;
import java.util.Objects;
import java.util.SortedMap;
import java.util.TreeMap;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.request.Outcome;

/**
 * Assembles an answer from its journal entries, which are added in log order. Duplicate
 * parts are ignored. Not thread-safe.
 */
public final class ResponseAssembler {

	private final ResponseLocation location;

	private final SortedMap<Integer, byte[]> parts = new TreeMap<>();

	private JournalEntry.@Nullable Finished end;

	private ResponseAssembler(ResponseLocation location) {
		this.location = Objects.requireNonNull(location, "location must not be null");
	}

	/**
	 * Returns an assembly without parts.
	 * @param location location of the answer in the log
	 * @return the assembly
	 */
	public static ResponseAssembler of(ResponseLocation location) {
		return new ResponseAssembler(location);
	}

	/**
	 * Adds an entry. Entries of other runs are ignored.
	 * @param entry the entry
	 * @return whether the end of the answer has been read
	 */
	public boolean add(JournalEntry entry) {
		if (this.end == null && this.location.matches(entry)) {
			if (entry instanceof JournalEntry.ResponsePart part) {
				this.parts.putIfAbsent(part.index(), part.part());
			}
			else if (entry instanceof JournalEntry.Finished finished && finished.outcome() == Outcome.COMPLETED) {
				this.end = finished;
			}
		}
		return this.end != null;
	}

	/**
	 * Returns the assembled answer.
	 * @return the complete answer, or {@code null} if it was not stored, its end has not
	 * been read or parts are missing
	 */
	public @Nullable StoredResponse response() {
		JournalEntry.Finished found = this.end;
		if (found == null || found.status() == 0 || this.parts.size() < found.parts()) {
			return null;
		}
		int length = found.lastPart().length;
		for (int index = 0; index < found.parts(); index++) {
			if (!this.parts.containsKey(index)) {
				return null;
			}
			length += this.parts.get(index).length;
		}
		ByteBuffer body = ByteBuffer.allocate(length);
		this.parts.headMap(found.parts()).values().forEach(body::put);
		body.put(found.lastPart());
		return new StoredResponse(found.status(), found.headers(), body.array());
	}

}
