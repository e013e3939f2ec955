package org.sardineport.daemon.stop;

import java.util.concurrent.CompletionStage;

/**
 * Effects of a planned stop on the parts of a daemon. Methods are called on the thread of
 * the stop and must not block.
 */
public interface StopActions {

	/**
	 * Returns whether no caller can know the address of this daemon yet.
	 * @return whether the lingering phase can be skipped
	 */
	boolean hasNeverServed();

	/**
	 * Announces the stop to the other daemons, and withdraws from the entry list and from
	 * the ownership of backend servers.
	 * @return completes when the announcement has been sent
	 */
	CompletionStage<Void> announce();

	/**
	 * Refuses new requests from now on.
	 */
	void refuseNewRequests();

	/**
	 * Returns the number of requests in flight.
	 * @return the number of requests whose response is not complete
	 */
	int inFlight();

	/**
	 * Writes all data that must be durable.
	 * @return completes when the data is written
	 */
	CompletionStage<Void> flush();

}
