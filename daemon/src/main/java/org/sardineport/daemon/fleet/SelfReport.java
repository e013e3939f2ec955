package org.sardineport.daemon.fleet;

/**
 * What this daemon tells the others of itself. Safe for use by any thread; returns at
 * once.
 */
public interface SelfReport {

	/**
	 * Returns the version of the configuration in force here.
	 * @return the version
	 */
	long configurationVersion();

	/**
	 * Returns the share of this daemon's capacity in use.
	 * @return 0 to 100
	 */
	int load();

}
