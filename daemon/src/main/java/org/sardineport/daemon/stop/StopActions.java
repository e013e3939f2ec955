package org.sardineport.daemon.stop;

import java.util.concurrent.CompletionStage;

/**
 * What a planned stop does to the parts of a daemon. Called on the thread of the stop;
 * returns at once.
 */
public interface StopActions {

	/**
	 * Returns whether no caller can have been told of this daemon yet.
	 * @return whether there is nobody to linger for
	 */
	boolean hasNeverServed();

	/**
	 * Tells the other daemons and leaves the entry list and ownership.
	 * @return completes when the news was sent
	 */
	CompletionStage<Void> announce();

	/**
	 * Refuses new requests from now on.
	 */
	void refuseNewRequests();

	/**
	 * Returns the number of requests whose answers are not over.
	 * @return the number
	 */
	int inFlight();

	/**
	 * Writes what must last.
	 * @return completes when it is written
	 */
	CompletionStage<Void> flush();

}
