package org.sardineport.core.configuration;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

import org.sardineport.core.identity.ProfileName;

/**
 * Remembers the last change to the text of each profile, so that a daemon that has the
 * previous text is sent only the difference. Not safe for use by several threads.
 */
public final class RecentChanges {

	private final Map<ProfileName, ProfilePatch> patches = new HashMap<>();

	private RecentChanges() {
	}

	/**
	 * Returns an instance without any changes.
	 * @return the instance
	 */
	public static RecentChanges create() {
		return new RecentChanges();
	}

	/**
	 * Records the differences between two successive states.
	 * @param before the state before
	 * @param after the state after
	 */
	public void recordChanges(ConfigurationState before, ConfigurationState after) {
		this.patches.keySet().retainAll(after.profiles().keySet());
		after.profiles().forEach((name, stored) -> {
			StoredProfile old = before.profiles().get(name);
			if (old == null) {
				this.patches.remove(name);
			}
			else if (old.changedAt() != stored.changedAt()) {
				this.patches.put(name, new ProfilePatch(name, old.changedAt(), stored.changedAt(),
						TextPatch.between(old.text(), stored.text())));
			}
		});
	}

	/**
	 * Returns an image in which patches replace the texts of profiles whose previous text
	 * the receiver has.
	 * @param image the image
	 * @return an equivalent image for the same receiver; the same object if the image is
	 * complete
	 */
	public ConfigurationImage withPatches(ConfigurationImage image) {
		Objects.requireNonNull(image, "image must not be null");
		if (image.isComplete()) {
			return image;
		}
		List<ImageProfile> fullTexts = new ArrayList<>();
		List<ProfilePatch> chosenPatches = new ArrayList<>(image.patches());
		for (ImageProfile profile : image.profiles()) {
			ProfilePatch patch = this.patches.get(profile.document().name());
			if (patch != null && patch.changedAt() == profile.changedAt() && patch.from() <= image.newerThan()) {
				chosenPatches.add(patch);
			}
			else {
				fullTexts.add(profile);
			}
		}
		return new ConfigurationImage(image.asOf(), image.version(), image.newerThan(), image.forgottenVersion(),
				fullTexts, chosenPatches, image.retirements());
	}

}
