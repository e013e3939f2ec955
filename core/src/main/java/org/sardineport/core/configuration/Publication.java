package org.sardineport.core.configuration;

import java.util.List;
import java.util.Objects;
import java.util.stream.Stream;

import org.sardineport.core.identity.ProfileName;

/**
 * A change of profiles that an operator wants, in force as a whole or not at all.
 *
 * @param token identity of the publication, by which a lost append answer is settled
 * @param baseVersion version that the operator saw
 * @param profiles profiles to publish or replace
 * @param retired profiles to retire
 * @param operator who publishes, for the log lines
 */
public record Publication(String token, long baseVersion, List<ProfileDocument> profiles, List<ProfileName> retired,
		String operator) implements ConfigurationRecord {

	/**
	 * Creates the publication.
	 */
	public Publication {
		Objects.requireNonNull(token, "token must not be null");
		profiles = List.copyOf(profiles);
		retired = List.copyOf(retired);
		Objects.requireNonNull(operator, "operator must not be null");
	}

	/**
	 * Returns the length of all texts together.
	 * @return their characters
	 */
	public long characters() {
		return this.profiles.stream().mapToLong((document) -> document.text().length()).sum();
	}

	/**
	 * Returns the profiles that the publication changes.
	 * @return their names, in the order of the publication
	 */
	public List<ProfileName> touched() {
		return Stream.concat(this.profiles.stream().map(ProfileDocument::name), this.retired.stream()).toList();
	}

}
