package org.sardineport.core.journal;

/**
 * Hash set of {@code long} values that are already hashes, stored in one array with
 * linear probing. Treats 0 and 1 as equal, because 0 marks an empty slot. Not
 * thread-safe.
 */
final class LongHashSet {

	private static final int INITIAL_CAPACITY = 16;

	private static final long EMPTY = 0;

	private long[] slots = new long[INITIAL_CAPACITY];

	private int size;

	private LongHashSet() {
	}

	static LongHashSet create() {
		return new LongHashSet();
	}

	void add(long value) {
		if (2 * (this.size + 1) > this.slots.length) {
			grow();
		}
		int slot = slotOf(this.slots, stored(value));
		if (this.slots[slot] == EMPTY) {
			this.slots[slot] = stored(value);
			this.size++;
		}
	}

	boolean contains(long value) {
		return this.slots[slotOf(this.slots, stored(value))] != EMPTY;
	}

	long bytes() {
		return (long) this.slots.length * Long.BYTES;
	}

	private void grow() {
		long[] grown = new long[2 * this.slots.length];
		for (long value : this.slots) {
			if (value != EMPTY) {
				grown[slotOf(grown, value)] = value;
			}
		}
		this.slots = grown;
	}

	private static long stored(long value) {
		return (value != EMPTY) ? value : 1;
	}

	private static int slotOf(long[] slots, long value) {
		int slot = (int) (value & (slots.length - 1));
		while (slots[slot] != EMPTY && slots[slot] != value) {
			slot = (slot + 1) & (slots.length - 1);
		}
		return slot;
	}

}
