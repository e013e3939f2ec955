package org.sardineport.core.fleet;

import java.util.function.Consumer;

/**
 * Current state of the fleet as known to this daemon. Safe for use by any thread.
 */
public interface FleetView {

	/**
	 * Returns the latest snapshot.
	 * @return the snapshot
	 */
	FleetSnapshot current();

	/**
	 * Adds a listener for new snapshots. It is called on the membership thread and must
	 * not block.
	 * @param listener receives each new snapshot
	 */
	void addListener(Consumer<FleetSnapshot> listener);

}
