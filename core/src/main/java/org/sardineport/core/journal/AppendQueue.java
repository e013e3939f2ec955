package org.sardineport.core.journal;

import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.port.log.LogFailure;

/**
 * Queue of the entries of one partition that are waiting to be appended, or were sent and
 * have not been read back yet. If the result of an append is unknown, its entries are
 * sent again only after a read that began later has reached the end of the log without
 * returning them. Not thread-safe.
 */
final class AppendQueue {

	private final JournalLimits limits;

	private final Map<EntryId, PendingEntry> unconfirmed = new LinkedHashMap<>();

	private Deque<PendingEntry> waiting = new ArrayDeque<>();

	private boolean sending;

	private boolean inDoubt;

	private AppendQueue(JournalLimits limits) {
		this.limits = limits;
	}

	static AppendQueue create(JournalLimits limits) {
		return new AppendQueue(limits);
	}

	boolean hasRoom() {
		return this.unconfirmed.size() < this.limits.maxQueuedEntries();
	}

	void add(JournalEntry entry, Instant now) {
		PendingEntry pending = PendingEntry.of(entry, now);
		if (this.unconfirmed.putIfAbsent(pending.id(), pending) == null) {
			this.waiting.add(pending);
		}
	}

	// Removes an entry that is still queued. Returns true if it was removed and can
	// never appear in the log.
	boolean withdraw(EntryId id) {
		PendingEntry pending = this.unconfirmed.get(id);
		if (pending == null || !pending.isQueued()) {
			return false;
		}
		this.waiting.remove(pending);
		this.unconfirmed.remove(id);
		return !pending.isPossiblyInLog();
	}

	boolean isUnconfirmed(EntryId id) {
		return this.unconfirmed.containsKey(id);
	}

	// Removes an entry that was read back from the log.
	void confirm(EntryId id) {
		PendingEntry pending = this.unconfirmed.remove(id);
		if (pending != null && pending.isQueued()) {
			this.waiting.remove(pending);
		}
	}

	boolean canSend() {
		return !this.sending && !this.waiting.isEmpty();
	}

	// Returns when the oldest waiting entry was queued, or null if there is none.
	// Entries for which no caller waits count only if deferrable ones are included.
	@Nullable Instant waitingSince(boolean includeDeferrable) {
		return this.waiting.stream()
			.filter((pending) -> includeDeferrable || !pending.isDeferrable())
			.map(PendingEntry::queuedAt)
			.findFirst()
			.orElse(null);
	}

	AppendBatch takeBatch() {
		List<PendingEntry> batch = new ArrayList<>();
		int bytes = 0;
		while (!this.waiting.isEmpty()) {
			bytes += this.waiting.peek().bytes();
			if (!batch.isEmpty() && bytes > this.limits.maxBatchBytes()) {
				break;
			}
			PendingEntry pending = this.waiting.remove();
			pending.markSent();
			batch.add(pending);
		}
		this.sending = true;
		return AppendBatch.of(batch);
	}

	void appendSucceeded(AppendBatch batch) {
		this.sending = false;
		batch.pending().forEach(PendingEntry::markAppended);
	}

	void appendFailed(AppendBatch batch, LogFailure failure, long newestRead) {
		this.sending = false;
		if (failure.isCertainlyNotApplied()) {
			Deque<PendingEntry> retried = new ArrayDeque<>(batch.pending());
			retried.removeIf((pending) -> !isUnconfirmed(pending.id()));
			retried.forEach(PendingEntry::markQueued);
			retried.addAll(this.waiting);
			this.waiting = retried;
		}
		else {
			batch.pending().forEach((pending) -> pending.markDoubtful(newestRead));
			this.inDoubt = true;
		}
	}

	// Called after a read that reached the end of the log. Queues the doubtful entries
	// again that the read did not return, and returns their number.
	int requeueMissed(long read) {
		if (!this.inDoubt) {
			return 0;
		}
		List<PendingEntry> missed = this.unconfirmed.values()
			.stream()
			.filter((pending) -> pending.isMissedBy(read))
			.toList();
		missed.forEach(this::requeue);
		this.inDoubt = this.unconfirmed.values().stream().anyMatch(PendingEntry::isDoubtful);
		return missed.size();
	}

	// Called after records were skipped: the sent entries may have been among them, so
	// they are queued again.
	void requeueAfterGap() {
		this.unconfirmed.values().stream().filter(PendingEntry::isPossiblyInLog).toList().forEach(this::requeue);
	}

	@Override
	public String toString() {
		return "AppendQueue[waiting=" + this.waiting + ", unsettled=" + this.unconfirmed.values() + ", sending="
				+ this.sending + "]";
	}

	private void requeue(PendingEntry pending) {
		if (!pending.isQueued()) {
			pending.markQueued();
			this.waiting.add(pending);
		}
	}

	boolean isInDoubt() {
		return this.inDoubt;
	}

	int size() {
		return this.unconfirmed.size();
	}

}
