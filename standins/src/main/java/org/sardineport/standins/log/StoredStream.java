package org.sardineport.standins.log;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;

import org.sardineport.core.port.log.LogRecord;
import org.sardineport.core.port.log.LogService;
import org.sardineport.core.port.log.LogSlice;

/**
 * Records of one stream, and the readers that wait for its next record. Not thread-safe.
 */
final class StoredStream {

	private final List<LogRecord> records = new ArrayList<>();

	private final List<Runnable> waitingReaders = new ArrayList<>();

	private long nextOffset;

	/** Records before this offset have been removed. */
	private long firstOffset;

	static StoredStream create() {
		return new StoredStream();
	}

	long append(Instant now, byte[] value, int offsetStep) {
		long offset = this.nextOffset;
		this.records.add(new LogRecord(offset, now, value));
		this.nextOffset = offset + offsetStep;
		return offset;
	}

	boolean isExpired(long fromOffset) {
		return fromOffset != LogService.EARLIEST && fromOffset < this.firstOffset;
	}

	void truncate(long beforeOffset) {
		this.firstOffset = Math.max(this.firstOffset, Math.min(beforeOffset, this.nextOffset));
		int kept = indexOf(this.firstOffset);
		this.records.subList(0, kept).clear();
	}

	void expire(Instant before) {
		int expired = 0;
		while (expired < this.records.size() && this.records.get(expired).appendedAt().isBefore(before)) {
			expired++;
		}
		if (expired > 0) {
			truncate((expired < this.records.size()) ? this.records.get(expired).offset() : this.nextOffset);
		}
	}

	LogSlice slice(long fromOffset, int maximumRecords, Instant visibleUntil, boolean duplicates) {
		long from = Math.max(fromOffset, this.firstOffset);
		int first = indexOf(from);
		int end = visibleEnd(visibleUntil);
		int last = Math.max(first, (int) Math.min(end, (long) first + maximumRecords));
		List<LogRecord> found = new ArrayList<>(this.records.subList(first, last));
		long endOffset = (end < this.records.size()) ? this.records.get(end).offset() : this.nextOffset;
		long next = (last < end) ? this.records.get(last).offset() : Math.max(from, endOffset);
		if (duplicates && first > 0 && !found.isEmpty()) {
			found.add(0, this.records.get(first - 1));
		}
		return new LogSlice(found, next, endOffset);
	}

	boolean hasVisible(long fromOffset, Instant visibleUntil) {
		return indexOf(Math.max(fromOffset, this.firstOffset)) < visibleEnd(visibleUntil);
	}

	void addReader(Runnable reader) {
		this.waitingReaders.add(reader);
	}

	void removeReader(Runnable reader) {
		this.waitingReaders.remove(reader);
	}

	List<Runnable> drainReaders() {
		List<Runnable> taken = List.copyOf(this.waitingReaders);
		this.waitingReaders.clear();
		return taken;
	}

	List<LogRecord> records() {
		return List.copyOf(this.records);
	}

	private int visibleEnd(Instant visibleUntil) {
		int end = this.records.size();
		while (end > 0 && this.records.get(end - 1).appendedAt().isAfter(visibleUntil)) {
			end--;
		}
		return end;
	}

	// Index of the first record at or after the offset.
	private int indexOf(long offset) {
		int low = 0;
		int high = this.records.size();
		while (low < high) {
			int middle = (low + high) >>> 1;
			if (this.records.get(middle).offset() < offset) {
				low = middle + 1;
			}
			else {
				high = middle;
			}
		}
		return low;
	}

}
