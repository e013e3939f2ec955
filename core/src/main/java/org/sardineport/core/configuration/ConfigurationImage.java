package org.sardineport.core.configuration;

import java.util.List;

/**
 * The configuration as of an offset, or what changed in it since a version, in a form
 * that can be sent and kept. Immutable.
 *
 * @param asOf last offset whose record is contained
 * @param version newest accepted version contained
 * @param newerThan version that the receiver must have at least;
 * {@link ConfigurationSnapshot#NO_VERSION} if the image is complete
 * @param forgottenVersion retirements up to this version are not listed any more
 * @param profiles profiles changed after {@code newerThan}
 * @param patches changes of texts that the receiver has
 * @param retirements retirements after {@code newerThan}
 */
public record ConfigurationImage(long asOf, long version, long newerThan, long forgottenVersion,
		List<ImageProfile> profiles, List<ProfilePatch> patches, List<Retirement> retirements) {

	/**
	 * Creates the image.
	 */
	public ConfigurationImage {
		profiles = List.copyOf(profiles);
		patches = List.copyOf(patches);
		retirements = List.copyOf(retirements);
	}

	/**
	 * Returns whether the image needs nothing of an earlier state.
	 * @return whether it is complete
	 */
	public boolean isComplete() {
		return this.newerThan == ConfigurationSnapshot.NO_VERSION;
	}

}
