package org.sardineport.core.configuration;

import java.util.Objects;

/**
 * Record of the configuration stream that was not written by this system.
 *
 * @param reason why it cannot be read
 */
public record UnreadableRecord(String reason) implements ConfigurationRecord {

	/**
	 * Creates the record.
	 */
	public UnreadableRecord {
		Objects.requireNonNull(reason, "reason must not be null");
	}

}
