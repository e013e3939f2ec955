package org.sardineport.core.configuration;

import java.util.Map;
import java.util.Optional;

import org.sardineport.core.identity.ProfileName;
import org.sardineport.core.profile.Profile;

/**
 * All profiles in force at one version. Immutable. A request uses the snapshot that it
 * was admitted under until its end.
 *
 * @param version offset in the log of the newest accepted record, or {@link #NO_VERSION}
 * @param profiles the profiles by name
 */
public record ConfigurationSnapshot(long version, Map<ProfileName, Profile> profiles) {

	/** Version before anything was published. */
	public static final long NO_VERSION = -1;

	/** Snapshot before anything was published. */
	public static final ConfigurationSnapshot EMPTY = new ConfigurationSnapshot(NO_VERSION, Map.of());

	/**
	 * Creates the snapshot.
	 */
	public ConfigurationSnapshot {
		profiles = Map.copyOf(profiles);
	}

	/**
	 * Returns a profile in force.
	 * @param name name of the profile
	 * @return the profile, or empty if it is not published
	 */
	public Optional<Profile> profile(ProfileName name) {
		return Optional.ofNullable(this.profiles.get(name));
	}

}
