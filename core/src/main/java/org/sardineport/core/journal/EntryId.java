package org.sardineport.core.journal;

/**
 * Identity of an entry. Copies of an entry in the log have the same identity and count as
 * one.
 *
 * @param token token of the claim
 * @param kind kind of the entry
 * @param number number among the entries of the same kind and claim
 */
record EntryId(String token, Kind kind, int number) {

	static EntryId of(JournalEntry entry) {
		if (entry instanceof JournalEntry.Accepted) {
			return new EntryId(entry.token(), Kind.ACCEPTED, 0);
		}
		if (entry instanceof JournalEntry.Dispatched dispatched) {
			return new EntryId(entry.token(), Kind.DISPATCHED, dispatched.attempt());
		}
		if (entry instanceof JournalEntry.Released) {
			return new EntryId(entry.token(), Kind.RELEASED, 0);
		}
		if (entry instanceof JournalEntry.ResponsePart part) {
			return new EntryId(entry.token(), Kind.ANSWER_PART, part.index());
		}
		return new EntryId(entry.token(), Kind.FINISHED, 0);
	}

	/**
	 * Type of the journal entry.
	 */
	enum Kind {

		ACCEPTED, DISPATCHED, RELEASED, ANSWER_PART, FINISHED

	}

}
