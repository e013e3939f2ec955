package org.sardineport.daemon.fleet;

import org.sardineport.core.configuration.ConfigurationSnapshot;

/**
 * What this daemon tells the others of itself. Safe for use by any thread; returns at
 * once.
 */
public interface SelfReport {

	/** Report of a daemon without configuration or load. */
	SelfReport NONE = new SelfReport() {

		@Override
		public long configurationVersion() {
			return ConfigurationSnapshot.NO_VERSION;
		}

		@Override
		public int load() {
			return 0;
		}

	};

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
