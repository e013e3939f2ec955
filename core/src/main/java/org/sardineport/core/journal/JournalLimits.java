package org.sardineport.core.journal;

import java.time.Duration;
import java.util.Objects;

/**
 * Limits of the journal.
 *
 * @param replayWindow age up to which keys are kept
 * @param clockTolerance maximum difference between any two clocks of callers, daemons and
 * the log service
 * @param settleTime time reserved before a deadline to resolve claims that are in doubt
 * @param maxQueuedEntries maximum number of entries of a partition that have not been
 * read back
 * @param maxBatchBytes maximum number of bytes in one append; a larger single entry is
 * sent alone
 * @param maxRequestBytes maximum number of bytes in the body of a durable request
 * @param maxPartBytes maximum number of bytes in a part of an answer
 * @param maxWaiters maximum number of callers in a partition that wait for a request held
 * by another
 */
public record JournalLimits(Duration replayWindow, Duration clockTolerance, Duration settleTime, int maxQueuedEntries,
		int maxBatchBytes, int maxRequestBytes, int maxPartBytes, int maxWaiters) {

	private static final Duration CLOCK_TOLERANCE = Duration.ofSeconds(10);

	private static final Duration SETTLE_TIME = Duration.ofSeconds(2);

	private static final int MAX_QUEUED_ENTRIES = 4096;

	private static final int MAX_BATCH_BYTES = 512 * 1024;

	private static final int MAX_REQUEST_BYTES = 768 * 1024;

	private static final int MAX_PART_BYTES = 256 * 1024;

	private static final int MAX_WAITERS = 16 * 1024;

	/**
	 * Creates the limits.
	 */
	public JournalLimits {
		Objects.requireNonNull(replayWindow, "replayWindow must not be null");
		Objects.requireNonNull(clockTolerance, "clockTolerance must not be null");
		Objects.requireNonNull(settleTime, "settleTime must not be null");
	}

	/**
	 * Returns the default limits.
	 * @param replayWindow age up to which keys are kept
	 * @return the limits
	 */
	public static JournalLimits of(Duration replayWindow) {
		return new JournalLimits(replayWindow, CLOCK_TOLERANCE, SETTLE_TIME, MAX_QUEUED_ENTRIES, MAX_BATCH_BYTES,
				MAX_REQUEST_BYTES, MAX_PART_BYTES, MAX_WAITERS);
	}

}
