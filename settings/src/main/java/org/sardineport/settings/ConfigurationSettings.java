package org.sardineport.settings;

import java.time.Duration;

/**
 * Settings of the configuration stream.
 *
 * @param stream name of the log stream
 * @param readWait time for which a read waits for a new record (long polling)
 * @param snapshotInterval time between two snapshots; must be much shorter than the log's
 * retention, so that the log always contains a snapshot
 */
public record ConfigurationSettings(String stream, Duration readWait, Duration snapshotInterval) {

	/**
	 * Returns the values of keys that are absent from the settings file.
	 * @return the default settings
	 */
	public static ConfigurationSettings defaults() {
		return new ConfigurationSettings("configuration", Duration.ofSeconds(1), Duration.ofMinutes(10));
	}

}
