package org.sardineport.core.configuration;

/**
 * The configuration in force on this daemon. Safe for use by any thread.
 */
public interface ConfigurationView {

	/**
	 * Returns the configuration in force. Versions of later calls never decrease.
	 * @return the snapshot
	 */
	ConfigurationSnapshot current();

	/**
	 * Returns whether this daemon holds the newest configuration known to the log or,
	 * with the log down, to its peers, so that it may serve.
	 * @return whether the daemon may serve
	 */
	boolean isReady();

}
