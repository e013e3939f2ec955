package org.sardineport.core.configuration;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

import org.sardineport.core.identity.ProfileName;

/**
 * Remembers how the text of each profile was changed last, so that a daemon that has the
 * text before needs only the difference. Not safe for use by several threads.
 */
public final class RecentChanges {

	private final Map<ProfileName, ProfilePatch> patches = new HashMap<>();

	private RecentChanges() {
	}

	/**
	 * Returns an object that remembers nothing yet.
	 * @return the object
	 */
	public static RecentChanges create() {
		return new RecentChanges();
	}

	/**
	 * Remembers what changed between two states.
	 * @param before the state before
	 * @param after the state after
	 */
	public void changed(ConfigurationState before, ConfigurationState after) {
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
	 * Returns an image with differences in place of texts, where the receiver has the
	 * text before.
	 * @param image the image
	 * @return the shorter image, of the same meaning for its receiver
	 */
	public ConfigurationImage shortened(ConfigurationImage image) {
		Objects.requireNonNull(image, "image must not be null");
		if (image.isComplete()) {
			return image;
		}
		List<ImageProfile> whole = new ArrayList<>();
		List<ProfilePatch> changes = new ArrayList<>(image.patches());
		for (ImageProfile profile : image.profiles()) {
			ProfilePatch patch = this.patches.get(profile.document().name());
			if (patch != null && patch.changedAt() == profile.changedAt() && patch.from() <= image.newerThan()) {
				changes.add(patch);
			}
			else {
				whole.add(profile);
			}
		}
		return new ConfigurationImage(image.asOf(), image.version(), image.newerThan(), image.forgottenVersion(), whole,
				changes, image.retirements());
	}

}
