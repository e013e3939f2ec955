package org.sardineport.core.port.relay;

import org.sardineport.core.relay.ClockReading;
import org.sardineport.core.relay.RelayConfiguration;

/**
 * Is notified of the result of each read of the operators' configuration. Implementations
 * must not block.
 */
public interface ConfigurationListener {

	/**
	 * Called when a read returned a configuration, which was the newest one when the read
	 * started.
	 * @param configuration the configuration
	 * @param readStarted clock reading at the start of the read
	 */
	void changed(RelayConfiguration configuration, ClockReading readStarted);

	/**
	 * Called when no newer configuration existed when a read started.
	 * @param readStarted clock reading at the start of the read
	 */
	void unchanged(ClockReading readStarted);

	/**
	 * Called when the newest configuration is invalid. The previous one stays in force.
	 * @param error description of the error
	 */
	void unreadable(String error);

	/**
	 * Called when the configuration could not be read.
	 * @param cause description of the cause
	 */
	void unreachable(String cause);

}
