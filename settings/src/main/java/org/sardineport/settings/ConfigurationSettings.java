package org.sardineport.settings;

import java.time.Duration;

/**
 * Reading of the configuration.
 *
 * @param stream name of the log stream
 * @param readWait time for which a read waits for a new record
 * @param snapshotInterval time between two snapshots; much shorter than the log's
 * retention
 */
public record ConfigurationSettings(String stream, Duration readWait, Duration snapshotInterval) {

	/**
	 * Returns the defaults.
	 * @return the settings that hold where a file says nothing
	 */
	public static ConfigurationSettings defaults() {
		return new ConfigurationSettings("configuration", Duration.ofSeconds(1), Duration.ofMinutes(10));
	}

}
