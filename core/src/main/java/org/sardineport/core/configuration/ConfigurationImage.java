package org.sardineport.core.configuration;

import java.util.List;

/**
 * The configuration as of an offset, or its changes since a version, in a form that can
 * be sent and stored. Immutable.
 *
 * @param asOf last offset whose record is contained
 * @param version newest accepted version contained
 * @param newerThan minimum version that the receiver must have;
 * {@link ConfigurationSnapshot#NO_VERSION} if the image is complete
 * @param forgottenVersion version up to which retirements are no longer listed
 * @param profiles profiles changed after {@code newerThan}
 * @param patches changes to texts that the receiver has
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
	 * Returns whether the image is complete, so that it can be applied without an earlier
	 * state.
	 * @return whether {@code newerThan} is {@link ConfigurationSnapshot#NO_VERSION}
	 */
	public boolean isComplete() {
		return this.newerThan == ConfigurationSnapshot.NO_VERSION;
	}

}
