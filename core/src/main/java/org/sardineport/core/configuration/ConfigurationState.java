package org.sardineport.core.configuration;

import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.error.DocumentFault;
import org.sardineport.core.error.InvalidDocumentException;
import org.sardineport.core.identity.ProfileName;
import org.sardineport.core.profile.Profile;

/**
 * State that the verdict on the next publication depends on: the profiles in force, and
 * the version at which each name changed last. Immutable.
 */
public final class ConfigurationState {

	/** Maximum number of retirements that are remembered individually. */
	static final int MAX_RETIREMENTS = 1000;

	/** State before the first record. */
	public static final ConfigurationState EMPTY = new ConfigurationState(ConfigurationSnapshot.NO_VERSION,
			ConfigurationSnapshot.NO_VERSION, new TreeMap<>(), new TreeMap<>());

	private final long forgottenVersion;

	private final SortedMap<ProfileName, StoredProfile> profiles;

	private final SortedMap<ProfileName, Long> retirements;

	private final ConfigurationSnapshot snapshot;

	private ConfigurationState(long version, long forgottenVersion, SortedMap<ProfileName, StoredProfile> profiles,
			SortedMap<ProfileName, Long> retirements) {
		this.forgottenVersion = forgottenVersion;
		this.profiles = Collections.unmodifiableSortedMap(profiles);
		this.retirements = Collections.unmodifiableSortedMap(retirements);
		Map<ProfileName, Profile> inForce = new HashMap<>();
		profiles.forEach((name, stored) -> inForce.put(name, stored.profile()));
		this.snapshot = new ConfigurationSnapshot(version, inForce);
	}

	/**
	 * Returns the version in force.
	 * @return offset of the newest accepted record, or
	 * {@link ConfigurationSnapshot#NO_VERSION}
	 */
	public long version() {
		return this.snapshot.version();
	}

	/**
	 * Returns the profiles in force in the form used by requests.
	 * @return the snapshot, the same object for the same state
	 */
	public ConfigurationSnapshot snapshot() {
		return this.snapshot;
	}

	/**
	 * Returns the profiles in force with their texts.
	 * @return the profiles, sorted by name
	 */
	public SortedMap<ProfileName, StoredProfile> profiles() {
		return this.profiles;
	}

	/**
	 * Returns a profile in force with its text.
	 * @param name its name
	 * @return the profile, or empty if it is not in force
	 */
	public Optional<StoredProfile> profile(ProfileName name) {
		return Optional.ofNullable(this.profiles.get(name));
	}

	/**
	 * Returns the version up to which retirements are not remembered individually.
	 * @return the version
	 */
	public long forgottenVersion() {
		return this.forgottenVersion;
	}

	/**
	 * Returns a version at or after the last change of a name. For a name that is not in
	 * force and whose retirement is no longer remembered, this is
	 * {@link #forgottenVersion()}.
	 * @param name the name
	 * @return the version
	 */
	public long changedAt(ProfileName name) {
		StoredProfile stored = this.profiles.get(name);
		if (stored != null) {
			return stored.changedAt();
		}
		return this.retirements.getOrDefault(name, this.forgottenVersion);
	}

	/**
	 * Returns the total length of the texts of all profiles in force.
	 * @return length in characters
	 */
	public long characters() {
		return this.profiles.values().stream().mapToLong((stored) -> stored.text().length()).sum();
	}

	/**
	 * Returns the state after an accepted change.
	 * @param version version of the change
	 * @param changed profiles that are published or replaced
	 * @param retired profiles that are retired
	 * @return the new state
	 */
	ConfigurationState with(long version, Collection<StoredProfile> changed, Collection<ProfileName> retired) {
		TreeMap<ProfileName, StoredProfile> nextProfiles = new TreeMap<>(this.profiles);
		TreeMap<ProfileName, Long> nextRetirements = new TreeMap<>(this.retirements);
		for (ProfileName name : retired) {
			nextProfiles.remove(name);
			nextRetirements.put(name, version);
		}
		for (StoredProfile stored : changed) {
			nextProfiles.put(stored.profile().name(), stored);
			nextRetirements.remove(stored.profile().name());
		}
		long forgotten = forgetOldest(nextRetirements, this.forgottenVersion);
		return new ConfigurationState(version, forgotten, nextProfiles, nextRetirements);
	}

	private static long forgetOldest(TreeMap<ProfileName, Long> retirements, long forgottenBefore) {
		long forgotten = forgottenBefore;
		while (retirements.size() > MAX_RETIREMENTS) {
			Map.Entry<ProfileName, Long> oldest = Collections.min(retirements.entrySet(),
					Comparator.comparingLong((Map.Entry<ProfileName, Long> entry) -> entry.getValue())
						.thenComparing(Map.Entry::getKey));
			forgotten = Math.max(forgotten, oldest.getValue());
			retirements.remove(oldest.getKey());
		}
		long limit = forgotten;
		retirements.values().removeIf((version) -> version <= limit);
		return forgotten;
	}

	/**
	 * Returns what changed since a version.
	 * @param asOf last offset that this state contains
	 * @param newerThan version that the receiver has
	 * @return the changes, or a complete image if not all retirements since that version
	 * are remembered
	 */
	public ConfigurationImage image(long asOf, long newerThan) {
		long since = (newerThan < this.forgottenVersion || newerThan > version()) ? ConfigurationSnapshot.NO_VERSION
				: newerThan;
		List<ImageProfile> changed = this.profiles.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().changedAt() > since)
			.map((entry) -> new ImageProfile(new ProfileDocument(entry.getKey(), entry.getValue().text()),
					entry.getValue().changedAt()))
			.toList();
		List<Retirement> retired = this.retirements.entrySet()
			.stream()
			.filter((entry) -> entry.getValue() > since)
			.map((entry) -> new Retirement(entry.getKey(), entry.getValue()))
			.toList();
		return new ConfigurationImage(asOf, version(), since, this.forgottenVersion, changed, List.of(), retired);
	}

	/**
	 * Returns the state after an image is applied to this one. A complete image replaces
	 * this state.
	 * @param image the image; its {@code newerThan} must not be above this version
	 * @param parser parses the profiles
	 * @return the new state, at the version of the image
	 * @throws InvalidDocumentException if a profile of the image has faults, or a patch
	 * does not fit the text known here
	 */
	ConfigurationState merged(ConfigurationImage image, ProfileParser parser) throws InvalidDocumentException {
		if (image.newerThan() > version()) {
			throw new IllegalArgumentException(
					"image must be relative to version %d or older, found %d".formatted(version(), image.newerThan()));
		}
		ConfigurationState base = image.isComplete() ? EMPTY : this;
		TreeMap<ProfileName, StoredProfile> nextProfiles = new TreeMap<>(base.profiles);
		TreeMap<ProfileName, Long> nextRetirements = new TreeMap<>(base.retirements);
		for (Retirement retirement : image.retirements()) {
			nextProfiles.remove(retirement.name());
			nextRetirements.put(retirement.name(), retirement.version());
		}
		for (ImageProfile changed : image.profiles()) {
			ProfileDocument document = changed.document();
			nextProfiles.put(document.name(),
					new StoredProfile(document.text(), changed.changedAt(), parser.parse(document.text())));
			nextRetirements.remove(document.name());
		}
		for (ProfilePatch patch : image.patches()) {
			nextProfiles.put(patch.name(), patched(patch, nextProfiles.get(patch.name()), parser));
		}
		nextRetirements.values().removeIf((version) -> version <= image.forgottenVersion());
		return new ConfigurationState(image.version(), image.forgottenVersion(), nextProfiles, nextRetirements);
	}

	private static StoredProfile patched(ProfilePatch patch, @Nullable StoredProfile before, ProfileParser parser)
			throws InvalidDocumentException {
		if (before == null || before.changedAt() != patch.from() || !patch.patch().fits(before.text())) {
			throw InvalidDocumentException.of("image", List.of(new DocumentFault(patch.name().value(), 0,
					"a change of a text of version %d, which is not here".formatted(patch.from()), "fetch the whole")));
		}
		String text = patch.patch().apply(before.text());
		return new StoredProfile(text, patch.changedAt(), parser.parse(text));
	}

	@Override
	public boolean equals(Object other) {
		return other instanceof ConfigurationState that && this.forgottenVersion == that.forgottenVersion
				&& this.snapshot.version() == that.snapshot.version() && this.profiles.equals(that.profiles)
				&& this.retirements.equals(that.retirements);
	}

	@Override
	public int hashCode() {
		return Long.hashCode(this.snapshot.version());
	}

	@Override
	public String toString() {
		return "ConfigurationState[version=%d, profiles=%s, retirements=%s, forgottenVersion=%d]".formatted(version(),
				this.profiles.keySet(), this.retirements, this.forgottenVersion);
	}

}
