package org.sardineport.core.journal;

import java.time.Instant;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.request.Outcome;

/**
 * State of one partition, built by applying its records in log order. Replay is
 * deterministic: it depends only on the content of the records and on the append times
 * set by the log service, so that every daemon reaches the same state. Not thread-safe.
 */
public final class JournalReplay {

	private final JournalLimits limits;

	private final KeyTable table = KeyTable.create();

	private final VoidTokens voidTokens;

	private final Map<KeyHash, ActiveKey> active = new HashMap<>();

	private JournalReplay(JournalLimits limits) {
		this.limits = Objects.requireNonNull(limits, "limits must not be null");
		this.voidTokens = VoidTokens.create(limits.replayWindow().plus(limits.clockTolerance().multipliedBy(2)));
	}

	/**
	 * Returns the state of an empty log.
	 * @param limits limits of the journal
	 * @return the state
	 */
	public static JournalReplay create(JournalLimits limits) {
		return new JournalReplay(limits);
	}

	/**
	 * Applies the next entry.
	 * @param offset offset of its record
	 * @param appendedAt time at which the log service appended the record
	 * @param entry the entry
	 * @return hash of its key
	 */
	public KeyHash apply(long offset, Instant appendedAt, JournalEntry entry) {
		KeyHash key = KeyHash.of(entry.organisation(), entry.key());
		long token = KeyHash.ofToken(entry.token());
		int row = this.table.find(key);
		if (entry instanceof JournalEntry.Accepted accepted) {
			accept(key, token, row, offset, appendedAt, accepted);
		}
		else if (entry instanceof JournalEntry.Released) {
			release(key, token, row, appendedAt);
		}
		else if (row != KeyTable.NONE && this.table.token(row) == token) {
			advance(key, row, offset, entry);
		}
		return key;
	}

	/**
	 * Returns the requests that are accepted or dispatched and have not ended.
	 * @return a live view
	 */
	public Collection<ActiveKey> active() {
		return this.active.values();
	}

	/**
	 * Returns the number of keys in the table.
	 * @return number of rows, including expired ones not yet removed
	 */
	public int size() {
		return this.table.size();
	}

	/**
	 * Returns the memory used by the tables of keys and void claims, without requests in
	 * flight.
	 * @return size in bytes
	 */
	public long bytes() {
		return this.table.bytes() + this.voidTokens.bytes();
	}

	KeyStatus status(KeyHash key) {
		int row = this.table.find(key);
		return (row != KeyTable.NONE) ? new KeyStatus(this.table.phase(row), this.table.token(row),
				this.table.fingerprint(row), this.table.answerOffset(row)) : KeyStatus.ABSENT;
	}

	@Nullable ActiveKey active(KeyHash key) {
		return this.active.get(key);
	}

	private void accept(KeyHash key, long token, int row, long offset, Instant appendedAt,
			JournalEntry.Accepted entry) {
		if (!isInWindow(entry.issuedAt(), appendedAt) || this.voidTokens.contains(key, token)) {
			return;
		}
		if (row != KeyTable.NONE && this.table.token(row) == token) {
			return;
		}
		if (!canClaim(row, entry)) {
			// Prevents a later copy of this entry from claiming the key once it is free.
			this.voidTokens.add(key, token, appendedAt);
			return;
		}
		int target = row;
		if (row == KeyTable.NONE) {
			target = this.table.add(key, entry.fingerprint(), epochSecond(expiryOf(entry.issuedAt())),
					epochSecond(appendedAt));
		}
		else if (this.table.phase(row) == RowPhase.ACCEPTED) {
			this.voidTokens.add(key, this.table.token(row), appendedAt);
		}
		this.table.phase(target, RowPhase.ACCEPTED);
		this.table.token(target, token);
		this.table.answerOffset(target, KeyTable.NO_OFFSET);
		this.active.put(key, ActiveKey.of(entry, offset));
	}

	private boolean canClaim(int row, JournalEntry.Accepted entry) {
		boolean supersedes = !entry.supersedes().isEmpty();
		if (row == KeyTable.NONE) {
			return !supersedes;
		}
		if (!this.table.hasFingerprint(row, entry.fingerprint())) {
			return false;
		}
		return switch (this.table.phase(row)) {
			case EMPTY, RELEASED -> !supersedes;
			case ACCEPTED -> supersedes && this.table.token(row) == KeyHash.ofToken(entry.supersedes());
			case DISPATCHED, COMPLETED, UNKNOWN -> false;
		};
	}

	private void release(KeyHash key, long token, int row, Instant appendedAt) {
		this.voidTokens.add(key, token, appendedAt);
		if (row != KeyTable.NONE && this.table.phase(row).isActive() && this.table.token(row) == token) {
			this.table.phase(row, RowPhase.RELEASED);
			this.active.remove(key);
		}
	}

	private void advance(KeyHash key, int row, long offset, JournalEntry entry) {
		RowPhase phase = this.table.phase(row);
		if (entry instanceof JournalEntry.Dispatched dispatched) {
			dispatch(key, row, phase, dispatched);
		}
		else if (entry instanceof JournalEntry.ResponsePart) {
			recordAnswerStart(row, phase, offset);
		}
		else if (entry instanceof JournalEntry.Finished finished) {
			finish(key, row, phase, offset, finished);
		}
	}

	private void dispatch(KeyHash key, int row, RowPhase phase, JournalEntry.Dispatched entry) {
		ActiveKey held = this.active.get(key);
		if (phase.isActive() && held != null && entry.attempt() > held.attempt()) {
			this.table.phase(row, RowPhase.DISPATCHED);
			this.active.put(key, held.dispatched(entry));
		}
	}

	private void recordAnswerStart(int row, RowPhase phase, long offset) {
		boolean wanted = phase == RowPhase.DISPATCHED || phase == RowPhase.UNKNOWN;
		if (wanted && this.table.answerOffset(row) == KeyTable.NO_OFFSET) {
			this.table.answerOffset(row, offset);
		}
	}

	private void finish(KeyHash key, int row, RowPhase phase, long offset, JournalEntry.Finished entry) {
		boolean completed = entry.outcome() == Outcome.COMPLETED;
		if (phase == RowPhase.DISPATCHED || (phase == RowPhase.UNKNOWN && completed)) {
			this.table.phase(row, (completed) ? RowPhase.COMPLETED : RowPhase.UNKNOWN);
			if (completed && this.table.answerOffset(row) == KeyTable.NO_OFFSET) {
				this.table.answerOffset(row, offset);
			}
			this.active.remove(key);
		}
	}

	private boolean isInWindow(Instant issuedAt, Instant appendedAt) {
		return !appendedAt.isAfter(issuedAt.plus(this.limits.replayWindow()))
				&& !issuedAt.isAfter(appendedAt.plus(this.limits.clockTolerance().multipliedBy(2)));
	}

	private Instant expiryOf(Instant issuedAt) {
		return issuedAt.plus(this.limits.replayWindow()).plus(this.limits.clockTolerance());
	}

	private static int epochSecond(Instant time) {
		return (int) time.getEpochSecond();
	}

}
