package org.sardineport.core.configuration;

import java.util.List;
import java.util.Objects;
import java.util.stream.Stream;

import org.sardineport.core.identity.ProfileName;

/**
 * A change of profiles requested by an operator. It takes effect as a whole or not at
 * all.
 *
 * @param token identity of the publication, by which a publisher determines whether an
 * append whose response was lost has taken effect
 * @param baseVersion version that the change is based on, as seen by the operator
 * @param profiles profiles to publish or replace
 * @param retired profiles to retire
 * @param operator operator who publishes, for the log lines
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
	 * Returns the total length of all texts.
	 * @return length in characters
	 */
	public long characters() {
		return this.profiles.stream().mapToLong((document) -> document.text().length()).sum();
	}

	/**
	 * Returns the profiles that the publication changes or retires.
	 * @return names of the published profiles, then of the retired ones
	 */
	public List<ProfileName> touched() {
		return Stream.concat(this.profiles.stream().map(ProfileDocument::name), this.retired.stream()).toList();
	}

}
