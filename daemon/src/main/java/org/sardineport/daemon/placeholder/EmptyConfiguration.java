package org.sardineport.daemon.placeholder;

import org.sardineport.core.configuration.ConfigurationSnapshot;
import org.sardineport.core.configuration.ConfigurationView;

/**
 * A configuration without profiles.
 */
public final class EmptyConfiguration implements ConfigurationView {

	private EmptyConfiguration() {
	}

	/**
	 * Returns the configuration.
	 * @return the configuration
	 */
	public static EmptyConfiguration create() {
		return new EmptyConfiguration();
	}

	@Override
	public ConfigurationSnapshot current() {
		return ConfigurationSnapshot.EMPTY;
	}

	@Override
	public boolean isReady() {
		return true;
	}

}
