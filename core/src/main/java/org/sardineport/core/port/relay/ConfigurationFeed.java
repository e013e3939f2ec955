package org.sardineport.core.port.relay;

import java.time.Duration;
import java.util.function.Supplier;

import org.sardineport.core.lifecycle.Service;

/**
 * Follows the operators' configuration from its start to its stop.
 */
public interface ConfigurationFeed extends Service {

	/**
	 * Sets who hears of it. Called once, before the start.
	 * @param listener hears each read
	 * @param wait time for which each read waits for a change; asked before each
	 */
	void listen(ConfigurationListener listener, Supplier<Duration> wait);

}
