package org.sardineport.daemon.exchange;

/**
 * A started run, as its caller's side sees it.
 */
public interface RunHandle {

	/**
	 * Tells that the caller has left. Called on the run's executor.
	 */
	void callerLeft();

}
