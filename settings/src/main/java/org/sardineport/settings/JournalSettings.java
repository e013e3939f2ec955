package org.sardineport.settings;

import java.time.Duration;

/**
 * Settings of the journal of keyed requests.
 *
 * @param partitions number of log streams; must be the same on all daemons of a fleet and
 * never change
 * @param replayWindow maximum age of a key that is still recognised; shorter than the
 * log's retention
 * @param appendsPerSecond maximum number of appends per second by this daemon
 * @param batchDelay time for which entries are collected into one append
 * @param maximumAnswerBytes maximum size of a stored response, in bytes
 * @param takeoverAfter time without a sign of life of the holder after which accepted
 * durable work is taken over
 */
public record JournalSettings(int partitions, Duration replayWindow, int appendsPerSecond, Duration batchDelay,
		int maximumAnswerBytes, Duration takeoverAfter) {

	/**
	 * Returns the values of keys that are absent from the settings file.
	 * @return the default settings
	 */
	public static JournalSettings defaults() {
		return new JournalSettings(2, Duration.ofHours(1), 30, Duration.ofMillis(5), 1024 * 1024,
				Duration.ofSeconds(3));
	}

}
