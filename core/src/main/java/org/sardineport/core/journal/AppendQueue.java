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
 * Entries of one partition that wait for the log, and those that were sent and have not
 * been read back. An entry whose append is in doubt is sent again only after a read to
 * the end of the log, begun later, did not show it. Not safe for use by several threads.
 */
final class AppendQueue {

	private final JournalLimits limits;

	private final Map<EntryId, PendingEntry> unsettled = new LinkedHashMap<>();

	private Deque<PendingEntry> waiting = new ArrayDeque<>();

	private boolean sending;

	private boolean doubtful;

	private AppendQueue(JournalLimits limits) {
		this.limits = limits;
	}

	static AppendQueue create(JournalLimits limits) {
		return new AppendQueue(limits);
	}

	boolean hasRoom() {
		return this.unsettled.size() < this.limits.maximumQueuedEntries();
	}

	void add(JournalEntry entry, Instant now) {
		PendingEntry pending = PendingEntry.of(entry, now);
		if (this.unsettled.putIfAbsent(pending.id(), pending) == null) {
			this.waiting.add(pending);
		}
	}

	// Takes an entry back. Returns whether it is certain never to get to the log.
	boolean withdraw(EntryId id) {
		PendingEntry pending = this.unsettled.get(id);
		if (pending == null || !pending.isQueued()) {
			return false;
		}
		this.waiting.remove(pending);
		this.unsettled.remove(id);
		return !pending.isPossiblyInLog();
	}

	boolean isUnsettled(EntryId id) {
		return this.unsettled.containsKey(id);
	}

	// The entry was read back.
	void settled(EntryId id) {
		PendingEntry pending = this.unsettled.remove(id);
		if (pending != null && pending.isQueued()) {
			this.waiting.remove(pending);
		}
	}

	boolean canSend() {
		return !this.sending && !this.waiting.isEmpty();
	}

	// Since when the oldest entry waits for which somebody waits, or any if all are
	// patient.
	@Nullable Instant waitingSince(boolean patientToo) {
		return this.waiting.stream()
			.filter((pending) -> patientToo || !pending.isPatient())
			.map(PendingEntry::queuedAt)
			.findFirst()
			.orElse(null);
	}

	AppendBatch send() {
		List<PendingEntry> batch = new ArrayList<>();
		int bytes = 0;
		while (!this.waiting.isEmpty()) {
			bytes += this.waiting.peek().bytes();
			if (!batch.isEmpty() && bytes > this.limits.maximumBatchBytes()) {
				break;
			}
			PendingEntry pending = this.waiting.remove();
			pending.sent();
			batch.add(pending);
		}
		this.sending = true;
		return AppendBatch.of(batch);
	}

	void taken(AppendBatch batch) {
		this.sending = false;
		batch.pending().forEach(PendingEntry::taken);
	}

	void failed(AppendBatch batch, LogFailure failure, long newestRead) {
		this.sending = false;
		if (failure.isCertainlyNotApplied()) {
			Deque<PendingEntry> again = new ArrayDeque<>(batch.pending());
			again.removeIf((pending) -> !isUnsettled(pending.id()));
			again.forEach(PendingEntry::notTaken);
			again.addAll(this.waiting);
			this.waiting = again;
		}
		else {
			batch.pending().forEach((pending) -> pending.doubtful(newestRead));
			this.doubtful = true;
		}
	}

	// A read that saw the end of the log is over. Returns how many entries go again.
	int caughtUp(long read) {
		if (!this.doubtful) {
			return 0;
		}
		List<PendingEntry> missed = this.unsettled.values()
			.stream()
			.filter((pending) -> pending.isMissedBy(read))
			.toList();
		missed.forEach(this::sendAgain);
		this.doubtful = this.unsettled.values().stream().anyMatch(PendingEntry::isDoubtful);
		return missed.size();
	}

	// Part of the log was not read: what was sent may have been in it.
	void readWithGap() {
		this.unsettled.values().stream().filter(PendingEntry::isPossiblyInLog).toList().forEach(this::sendAgain);
	}

	@Override
	public String toString() {
		return "AppendQueue[waiting=" + this.waiting + ", unsettled=" + this.unsettled.values() + ", sending="
				+ this.sending + "]";
	}

	private void sendAgain(PendingEntry pending) {
		if (!pending.isQueued()) {
			pending.notTaken();
			this.waiting.add(pending);
		}
	}

	boolean isInDoubt() {
		return this.doubtful;
	}

	int size() {
		return this.unsettled.size();
	}

}
