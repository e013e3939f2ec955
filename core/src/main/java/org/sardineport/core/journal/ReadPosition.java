package org.sardineport.core.journal;

import java.time.Duration;
import java.time.Instant;

import org.sardineport.core.port.log.LogService;

/**
 * Read position in a partition, and the time since which its history is complete. Not
 * thread-safe.
 */
final class ReadPosition {

	private final Duration clockTolerance;

	private long nextOffset = LogService.EARLIEST;

	private boolean afterGap = true;

	private long expectedOffset;

	private Instant completeSince = Instant.MIN;

	private boolean hasReachedEnd;

	private long reads;

	private ReadPosition(Duration clockTolerance) {
		this.clockTolerance = clockTolerance;
	}

	static ReadPosition create(Duration clockTolerance) {
		return new ReadPosition(clockTolerance);
	}

	long beginRead() {
		return ++this.reads;
	}

	long newestRead() {
		return this.reads;
	}

	long nextOffset() {
		return this.nextOffset;
	}

	// Returns whether the record has not been read before.
	boolean advance(long offset, Instant appendedAt) {
		if (offset < this.expectedOffset) {
			return false;
		}
		if (this.afterGap) {
			startAt(offset, appendedAt);
		}
		this.expectedOffset = offset + 1;
		this.nextOffset = this.expectedOffset;
		return true;
	}

	void readEnded(long next, boolean atEnd, Instant now) {
		if (this.afterGap) {
			startAt(next, now);
		}
		this.nextOffset = Math.max(next, this.expectedOffset);
		this.expectedOffset = this.nextOffset;
		this.hasReachedEnd |= atEnd;
	}

	void resetToEarliest() {
		this.nextOffset = LogService.EARLIEST;
		this.afterGap = true;
	}

	boolean isReady(Instant now) {
		return this.hasReachedEnd && (!this.afterGap) && hasCompleteHistory(now);
	}

	// Whether all records of the keys issued at that time are known to have been read.
	boolean hasCompleteHistory(Instant issuedAt) {
		return this.completeSince.equals(Instant.MIN)
				|| !issuedAt.isBefore(this.completeSince.plus(this.clockTolerance));
	}

	private void startAt(long offset, Instant time) {
		this.afterGap = false;
		if (offset > this.expectedOffset) {
			this.completeSince = time;
		}
	}

}
