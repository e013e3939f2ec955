package org.sardineport.daemon.fleet;

import org.sardineport.core.configuration.ConfigurationSnapshot;

/**
 * Supplies the values that this daemon reports about itself to the other daemons.
 * Implementations are thread-safe and do not block.
 */
public interface SelfReport {

	/** Report of a daemon that has neither configuration nor load. */
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
	 * Returns the version of the configuration in force on this daemon.
	 * @return the version, or {@link ConfigurationSnapshot#NO_VERSION} before anything
	 * was published
	 */
	long configurationVersion();

	/**
	 * Returns the percentage of this daemon's capacity in use.
	 * @return 0 to 100
	 */
	int load();

}
