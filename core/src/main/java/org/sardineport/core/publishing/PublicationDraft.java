package org.sardineport.core.publishing;

import java.util.List;
import java.util.OptionalLong;

import org.sardineport.core.configuration.ProfileDocument;
import org.sardineport.core.identity.ProfileName;

/**
 * What an operator wants to change, all or none of it.
 *
 * @param published profiles that are not in force yet
 * @param replaced profiles in force that get another text
 * @param retired profiles in force that go out of force
 * @param base version that the operator saw; empty for the version in force
 */
public record PublicationDraft(List<ProfileDocument> published, List<ProfileDocument> replaced,
		List<ProfileName> retired, OptionalLong base) {

	/**
	 * Creates the draft.
	 */
	public PublicationDraft {
		published = List.copyOf(published);
		replaced = List.copyOf(replaced);
		retired = List.copyOf(retired);
	}

}
