package org.sardineport.core.journal;

import java.util.List;

/**
 * Entries that are appended to the log in one record. Immutable.
 */
public final class AppendBatch {

	private final List<PendingEntry> pending;

	private AppendBatch(List<PendingEntry> pending) {
		this.pending = List.copyOf(pending);
	}

	static AppendBatch of(List<PendingEntry> pending) {
		return new AppendBatch(pending);
	}

	/**
	 * Returns the entries in the order in which they take effect.
	 * @return the entries
	 */
	public List<JournalEntry> entries() {
		return this.pending.stream().map(PendingEntry::entry).toList();
	}

	List<PendingEntry> pending() {
		return this.pending;
	}

}
