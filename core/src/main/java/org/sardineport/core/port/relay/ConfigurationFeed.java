package org.sardineport.core.port.relay;

import java.time.Duration;
import java.util.function.Supplier;

import org.sardineport.core.lifecycle.Service;

/**
 * Service that reads the operators' configuration repeatedly while it runs.
 */
public interface ConfigurationFeed extends Service {

	/**
	 * Sets the listener. Called once, before the start.
	 * @param listener is notified of the result of each read
	 * @param wait supplies the time for which a read waits for a change; called before
	 * each read
	 */
	void listen(ConfigurationListener listener, Supplier<Duration> wait);

}
