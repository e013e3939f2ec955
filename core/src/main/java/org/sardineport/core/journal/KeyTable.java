package org.sardineport.core.journal;

import org.sardineport.core.request.Fingerprint;

/**
 * Hash table of keys with open addressing and linear probing, stored in columns of
 * primitive values to save memory. Expired rows of ended requests are removed when the
 * table is rebuilt because it is full. A row index is valid until the next {@link #add}.
 * Not thread-safe.
 */
final class KeyTable {

	/** Row index of a key that is not in the table. */
	static final int NONE = -1;

	/** Offset of an answer that is not in the log. */
	static final long NO_OFFSET = -1;

	private static final int INITIAL_CAPACITY = 64;

	private static final double MAX_LOAD_FACTOR = 0.8;

	private static final double LOAD_FACTOR_AFTER_REBUILD = 0.6;

	private static final int BYTES_PER_ROW = 6 * Long.BYTES + Integer.BYTES + 1;

	private Columns columns = new Columns(INITIAL_CAPACITY);

	private int used;

	private KeyTable() {
	}

	static KeyTable create() {
		return new KeyTable();
	}

	int find(KeyHash key) {
		int row = this.columns.slotOf(key.high(), key.low());
		return (this.columns.phase[row] != RowPhase.EMPTY.code()) ? row : NONE;
	}

	/**
	 * Adds a row for a key that has none.
	 * @param key the key
	 * @param fingerprint hash of its request
	 * @param expirySecond last second at which the row is needed, since the epoch
	 * @param nowSecond the current second since the epoch; rows that expired before it
	 * may be removed
	 * @return index of the row, whose phase and token the caller must set
	 */
	int add(KeyHash key, Fingerprint fingerprint, int expirySecond, int nowSecond) {
		if (this.used + 1 > this.columns.capacity() * MAX_LOAD_FACTOR) {
			rebuild(nowSecond);
		}
		int row = this.columns.slotOf(key.high(), key.low());
		this.columns.high[row] = key.high();
		this.columns.low[row] = key.low();
		this.columns.fingerprintHigh[row] = fingerprint.high();
		this.columns.fingerprintLow[row] = fingerprint.low();
		this.columns.expirySecond[row] = expirySecond;
		this.columns.answerOffset[row] = NO_OFFSET;
		this.used++;
		return row;
	}

	RowPhase phase(int row) {
		return RowPhase.of(this.columns.phase[row]);
	}

	void phase(int row, RowPhase phase) {
		this.columns.phase[row] = phase.code();
	}

	long token(int row) {
		return this.columns.token[row];
	}

	void token(int row, long token) {
		this.columns.token[row] = token;
	}

	long answerOffset(int row) {
		return this.columns.answerOffset[row];
	}

	void answerOffset(int row, long offset) {
		this.columns.answerOffset[row] = offset;
	}

	Fingerprint fingerprint(int row) {
		return Fingerprint.of(this.columns.fingerprintHigh[row], this.columns.fingerprintLow[row]);
	}

	boolean hasFingerprint(int row, Fingerprint fingerprint) {
		return this.columns.fingerprintHigh[row] == fingerprint.high()
				&& this.columns.fingerprintLow[row] == fingerprint.low();
	}

	int size() {
		return this.used;
	}

	long bytes() {
		return (long) this.columns.capacity() * BYTES_PER_ROW;
	}

	private void rebuild(int nowSecond) {
		Columns old = this.columns;
		int kept = 0;
		for (int row = 0; row < old.capacity(); row++) {
			if (old.isNeeded(row, nowSecond)) {
				kept++;
			}
		}
		Columns rebuilt = new Columns(Math.max(INITIAL_CAPACITY, (int) (kept / LOAD_FACTOR_AFTER_REBUILD)));
		for (int row = 0; row < old.capacity(); row++) {
			if (old.isNeeded(row, nowSecond)) {
				rebuilt.copy(old, row);
			}
		}
		this.columns = rebuilt;
		this.used = kept;
	}

	/**
	 * Values of all rows, one array per column.
	 */
	private static final class Columns {

		private final long[] high;

		private final long[] low;

		private final long[] fingerprintHigh;

		private final long[] fingerprintLow;

		private final long[] token;

		private final long[] answerOffset;

		private final int[] expirySecond;

		private final byte[] phase;

		Columns(int capacity) {
			this.high = new long[capacity];
			this.low = new long[capacity];
			this.fingerprintHigh = new long[capacity];
			this.fingerprintLow = new long[capacity];
			this.token = new long[capacity];
			this.answerOffset = new long[capacity];
			this.expirySecond = new int[capacity];
			this.phase = new byte[capacity];
		}

		int capacity() {
			return this.phase.length;
		}

		boolean isNeeded(int row, int nowSecond) {
			RowPhase found = RowPhase.of(this.phase[row]);
			return found.isActive()
					|| (found != RowPhase.EMPTY && Integer.compareUnsigned(this.expirySecond[row], nowSecond) >= 0);
		}

		// Returns the row of the key, or the empty row at which to insert it.
		int slotOf(long keyHigh, long keyLow) {
			int capacity = this.phase.length;
			int row = (int) (((keyHigh >>> Integer.SIZE) * capacity) >>> Integer.SIZE);
			while (this.phase[row] != RowPhase.EMPTY.code() && (this.high[row] != keyHigh || this.low[row] != keyLow)) {
				row++;
				if (row == capacity) {
					row = 0;
				}
			}
			return row;
		}

		void copy(Columns from, int row) {
			int target = slotOf(from.high[row], from.low[row]);
			this.high[target] = from.high[row];
			this.low[target] = from.low[row];
			this.fingerprintHigh[target] = from.fingerprintHigh[row];
			this.fingerprintLow[target] = from.fingerprintLow[row];
			this.token[target] = from.token[row];
			this.answerOffset[target] = from.answerOffset[row];
			this.expirySecond[target] = from.expirySecond[row];
			this.phase[target] = from.phase[row];
		}

	}

}
