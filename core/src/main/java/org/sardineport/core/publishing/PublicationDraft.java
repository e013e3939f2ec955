package org.sardineport.core.publishing;

import java.util.List;
import java.util.OptionalLong;

import org.sardineport.core.configuration.ProfileDocument;
import org.sardineport.core.identity.ProfileName;

/**
 * Changes that an operator requests. They are applied atomically: all or none.
 *
 * @param published profiles that are not in force yet
 * @param replaced profiles in force that get a new text
 * @param retired profiles in force that are taken out of force
 * @param base configuration version that the operator based the changes on; empty for the
 * version in force
 */
public record PublicationDraft(List<ProfileDocument> published, List<ProfileDocument> replaced,
		List<ProfileName> retired, OptionalLong base) {

	/**
	 * Creates the draft with copies of the lists.
	 */
	public PublicationDraft {
		published = List.copyOf(published);
		replaced = List.copyOf(replaced);
		retired = List.copyOf(retired);
	}

}
