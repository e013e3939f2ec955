package org.sardineport.core.port.relay;

import org.sardineport.core.lifecycle.Service;

/**
 * Follows the operators' configuration from its start to its stop.
 */
public interface ConfigurationFeed extends Service {

	/**
	 * Sets who hears of it. Called once, before the start.
	 * @param listener hears each read
	 */
	void listen(ConfigurationListener listener);

}
