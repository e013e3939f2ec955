package org.sardineport.core.port.relay;

import java.util.Map;

import org.jspecify.annotations.Nullable;
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
	 * Called when the store held no configuration when it was read.
	 */
	void missing();

	/**
	 * Called when no newer configuration existed when a read started.
	 * @param readStarted clock reading at the start of the read
	 */
	void unchanged(ClockReading readStarted);

	/**
	 * Called when the newest configuration is invalid.
	 * @param error description of the error
	 * @param version its version, or {@code null} if that cannot be read either
	 * @param keys names of the organisations by their keys in it, or {@code null} if that
	 * cannot be read either
	 * @param readStarted clock reading at the start of the read
	 */
	void unreadable(String error, @Nullable Long version, @Nullable Map<String, String> keys, ClockReading readStarted);

	/**
	 * Called when the configuration could not be read.
	 * @param cause description of the cause
	 */
	void unreachable(String cause);

}
