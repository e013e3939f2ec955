package org.sardineport.core.journal;

import java.time.Duration;
import java.util.Objects;

/**
 * Bounds of the journal.
 *
 * @param replayWindow age up to which keys are remembered
 * @param clockTolerance most that two clocks, of callers, daemons or the log service, may
 * differ
 * @param settleTime time before a deadline kept to settle what is in doubt
 * @param maximumQueuedEntries most entries of a partition that wait for the log
 * @param maximumBatchBytes most bytes in one append
 * @param maximumRequestBytes most bytes of the body of a durable request
 * @param maximumPartBytes most bytes of a part of an answer
 * @param maximumWaiters most callers that wait for a request of another
 */
public record JournalLimits(Duration replayWindow, Duration clockTolerance, Duration settleTime,
		int maximumQueuedEntries, int maximumBatchBytes, int maximumRequestBytes, int maximumPartBytes,
		int maximumWaiters) {

	private static final Duration CLOCK_TOLERANCE = Duration.ofSeconds(10);

	private static final Duration SETTLE_TIME = Duration.ofSeconds(2);

	private static final int QUEUED_ENTRIES = 4096;

	private static final int BATCH_BYTES = 512 * 1024;

	private static final int REQUEST_BYTES = 768 * 1024;

	private static final int PART_BYTES = 256 * 1024;

	private static final int WAITERS = 16 * 1024;

	/**
	 * Creates the limits.
	 */
	public JournalLimits {
		Objects.requireNonNull(replayWindow, "replayWindow must not be null");
		Objects.requireNonNull(clockTolerance, "clockTolerance must not be null");
		Objects.requireNonNull(settleTime, "settleTime must not be null");
	}

	/**
	 * Returns the usual limits.
	 * @param replayWindow age up to which keys are remembered
	 * @return the limits
	 */
	public static JournalLimits of(Duration replayWindow) {
		return new JournalLimits(replayWindow, CLOCK_TOLERANCE, SETTLE_TIME, QUEUED_ENTRIES, BATCH_BYTES, REQUEST_BYTES,
				PART_BYTES, WAITERS);
	}

}
