package org.sardineport.core.port.relay;

import org.sardineport.core.relay.ClockReading;
import org.sardineport.core.relay.RelayConfiguration;

/**
 * Hears of the configuration that operators wrote. Implementations return at once.
 */
public interface ConfigurationListener {

	/**
	 * A configuration was the newest one when a read began.
	 * @param configuration the configuration
	 * @param readStarted when the read began
	 */
	void changed(RelayConfiguration configuration, ClockReading readStarted);

	/**
	 * There was no newer configuration when a read began.
	 * @param readStarted when the read began
	 */
	void unchanged(ClockReading readStarted);

	/**
	 * The newest configuration could not be understood; the one before stays in force.
	 * @param fault what is wrong with it
	 */
	void unreadable(String fault);

	/**
	 * The configuration could not be read.
	 * @param cause why
	 */
	void unreachable(String cause);

}
