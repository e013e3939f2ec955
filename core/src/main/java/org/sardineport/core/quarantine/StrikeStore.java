package org.sardineport.core.quarantine;

import org.sardineport.core.lifecycle.Service;

/**
 * Strikes kept by the platform, where daemons find them that start later or that other
 * daemons can't reach.
 */
public interface StrikeStore extends StrikeChannel, Service {

	/**
	 * Sets who receives the strikes that are kept, now and later. Must be called before
	 * the start.
	 * @param receiver receives them
	 */
	void listen(StrikeReceiver receiver);

}
