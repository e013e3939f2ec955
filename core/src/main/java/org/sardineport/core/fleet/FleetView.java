package org.sardineport.core.fleet;

import java.util.function.Consumer;

/**
 * The fleet as this daemon knows it, kept up to date. Safe for use by any thread.
 */
public interface FleetView {

	/**
	 * Returns the newest view.
	 * @return the snapshot
	 */
	FleetSnapshot current();

	/**
	 * Adds a listener for each new view. The listener is called on the membership thread
	 * and must return at once.
	 * @param listener hears each new view
	 */
	void listen(Consumer<FleetSnapshot> listener);

}
