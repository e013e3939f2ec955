package org.sardineport.core.journal;

/**
 * Identity of an entry: copies of it in the log are one entry.
 *
 * @param token claim of the entry
 * @param kind kind of the entry
 * @param number number among entries of that kind and claim
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
		if (entry instanceof JournalEntry.AnswerPart part) {
			return new EntryId(entry.token(), Kind.ANSWER_PART, part.index());
		}
		return new EntryId(entry.token(), Kind.FINISHED, 0);
	}

	/**
	 * Kind of an entry.
	 */
	enum Kind {

		ACCEPTED, DISPATCHED, RELEASED, ANSWER_PART, FINISHED

	}

}
