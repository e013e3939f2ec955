package org.sardineport.core.journal;

import org.sardineport.core.request.Fingerprint;

/**
 * Table of keys in columns of primitive values, open addressing with linear probing. Rows
 * of ended requests go when their time is over; their place is taken again when the table
 * is full. A row's index holds until the next {@link #add}. Not safe for use by several
 * threads.
 */
final class KeyTable {

	/** Index that stands for no row. */
	static final int NONE = -1;

	/** Offset that stands for no answer. */
	static final long NO_OFFSET = -1;

	private static final int INITIAL_CAPACITY = 64;

	private static final double MAXIMUM_FILL = 0.8;

	private static final double FILL_AFTER_GROWTH = 0.6;

	private static final int BYTES_OF_ROW = 6 * Long.BYTES + Integer.BYTES + 1;

	private Columns columns = new Columns(INITIAL_CAPACITY);

	private int used;

	private KeyTable() {
	}

	static KeyTable create() {
		return new KeyTable();
	}

	int find(KeyHash key) {
		int row = this.columns.place(key.high(), key.low());
		return (this.columns.phase[row] != RowPhase.EMPTY.code()) ? row : NONE;
	}

	/**
	 * Adds a row for a key that has none.
	 * @param key the key
	 * @param fingerprint its fingerprint
	 * @param forgetAfterSecond last second at which the row is needed
	 * @param nowSecond the current second; older rows may go
	 * @return the row, in no phase yet: the caller sets it
	 */
	int add(KeyHash key, Fingerprint fingerprint, int forgetAfterSecond, int nowSecond) {
		if (this.used + 1 > this.columns.capacity() * MAXIMUM_FILL) {
			rebuild(nowSecond);
		}
		int row = this.columns.place(key.high(), key.low());
		this.columns.high[row] = key.high();
		this.columns.low[row] = key.low();
		this.columns.fingerprintHigh[row] = fingerprint.high();
		this.columns.fingerprintLow[row] = fingerprint.low();
		this.columns.forgetAfter[row] = forgetAfterSecond;
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
		return (long) this.columns.capacity() * BYTES_OF_ROW;
	}

	private void rebuild(int nowSecond) {
		Columns old = this.columns;
		int kept = 0;
		for (int row = 0; row < old.capacity(); row++) {
			if (old.isNeeded(row, nowSecond)) {
				kept++;
			}
		}
		Columns rebuilt = new Columns(Math.max(INITIAL_CAPACITY, (int) (kept / FILL_AFTER_GROWTH)));
		for (int row = 0; row < old.capacity(); row++) {
			if (old.isNeeded(row, nowSecond)) {
				rebuilt.copy(old, row);
			}
		}
		this.columns = rebuilt;
		this.used = kept;
	}

	/**
	 * The values of all rows, one array a column.
	 */
	private static final class Columns {

		private final long[] high;

		private final long[] low;

		private final long[] fingerprintHigh;

		private final long[] fingerprintLow;

		private final long[] token;

		private final long[] answerOffset;

		private final int[] forgetAfter;

		private final byte[] phase;

		Columns(int capacity) {
			this.high = new long[capacity];
			this.low = new long[capacity];
			this.fingerprintHigh = new long[capacity];
			this.fingerprintLow = new long[capacity];
			this.token = new long[capacity];
			this.answerOffset = new long[capacity];
			this.forgetAfter = new int[capacity];
			this.phase = new byte[capacity];
		}

		int capacity() {
			return this.phase.length;
		}

		boolean isNeeded(int row, int nowSecond) {
			RowPhase found = RowPhase.of(this.phase[row]);
			return found.isActive()
					|| (found != RowPhase.EMPTY && Integer.compareUnsigned(this.forgetAfter[row], nowSecond) >= 0);
		}

		// The row of the key, or the empty row where it belongs.
		int place(long keyHigh, long keyLow) {
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
			int target = place(from.high[row], from.low[row]);
			this.high[target] = from.high[row];
			this.low[target] = from.low[row];
			this.fingerprintHigh[target] = from.fingerprintHigh[row];
			this.fingerprintLow[target] = from.fingerprintLow[row];
			this.token[target] = from.token[row];
			this.answerOffset[target] = from.answerOffset[row];
			this.forgetAfter[target] = from.forgetAfter[row];
			this.phase[target] = from.phase[row];
		}

	}

}
