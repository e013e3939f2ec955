package org.sardineport.core.port.relay;

import java.time.Duration;
import java.util.function.Supplier;

import org.sardineport.core.lifecycle.Service;
import org.sardineport.core.rollout.RolloutOrderListener;

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

	/**
	 * Sets the listener of the orders to roll out a software version, which are read with
	 * the configuration. Called before the start.
	 * @param listener is notified of the orders of each read
	 */
	void listenOrders(RolloutOrderListener listener);

}
