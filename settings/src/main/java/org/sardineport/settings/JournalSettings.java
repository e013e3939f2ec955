package org.sardineport.settings;

import java.time.Duration;

/**
 * The journal of keyed requests.
 *
 * @param partitions number of streams; the same on all daemons of a fleet, for good
 * @param replayWindow age up to which keys are remembered; shorter than the log's
 * retention
 * @param appendsPerSecond most appends a second by this daemon
 * @param batchDelay time to gather entries for one append
 * @param maximumAnswerBytes largest answer kept
 * @param takeoverAfter time without news of the holder after which accepted durable work
 * is taken over
 */
public record JournalSettings(int partitions, Duration replayWindow, int appendsPerSecond, Duration batchDelay,
		int maximumAnswerBytes, Duration takeoverAfter) {

	/**
	 * Returns the defaults.
	 * @return the settings that hold where a file says nothing
	 */
	public static JournalSettings defaults() {
		return new JournalSettings(2, Duration.ofHours(1), 30, Duration.ofMillis(5), 1024 * 1024,
				Duration.ofSeconds(3));
	}

}
