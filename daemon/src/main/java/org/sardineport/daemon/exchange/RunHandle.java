package org.sardineport.daemon.exchange;

/**
 * Handle of a started run, for the code that serves its caller.
 */
public interface RunHandle {

	/**
	 * Notifies the run that its caller has disconnected. Must be called on the run's
	 * executor.
	 */
	void callerDisconnected();

}
