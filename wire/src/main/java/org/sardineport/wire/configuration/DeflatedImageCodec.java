package org.sardineport.wire.configuration;

import java.io.IOException;
import java.util.List;
import java.util.Optional;

import org.sardineport.core.configuration.ConfigurationImage;
import org.sardineport.core.configuration.ImageCodec;
import org.sardineport.core.configuration.ImageProfile;
import org.sardineport.core.configuration.ProfileDocument;
import org.sardineport.core.configuration.ProfilePatch;
import org.sardineport.core.configuration.Retirement;
import org.sardineport.core.configuration.TextPatch;
import org.sardineport.core.identity.ProfileName;
import org.sardineport.wire.message.ConfigurationState;
import org.sardineport.wire.message.ProfileChange;
import org.sardineport.wire.message.ProfileRetirement;
import org.sardineport.wire.message.ProfileText;

/**
 * Codec of configuration images, encoded as protobuf messages and compressed with
 * DEFLATE. Thread-safe.
 */
public final class DeflatedImageCodec implements ImageCodec {

	/** Maximum size of an inflated image, in bytes. */
	private static final int MAX_IMAGE_BYTES = 32 * 1024 * 1024;

	private DeflatedImageCodec() {
	}

	/**
	 * Creates a codec.
	 * @return the codec, which has no state
	 */
	public static DeflatedImageCodec create() {
		return new DeflatedImageCodec();
	}

	@Override
	public byte[] encode(ConfigurationImage image) {
		ConfigurationState.Builder body = ConfigurationState.newBuilder()
			.setAsOf(image.asOf())
			.setVersion(image.version())
			.setNewerThan(image.newerThan())
			.setForgottenVersion(image.forgottenVersion());
		for (ImageProfile profile : image.profiles()) {
			body.addProfiles(ProfileText.newBuilder()
				.setName(profile.document().name().value())
				.setYaml(profile.document().text())
				.setChangedAt(profile.changedAt()));
		}
		for (ProfilePatch change : image.patches()) {
			body.addChanges(ProfileChange.newBuilder()
				.setName(change.name().value())
				.setFrom(change.from())
				.setChangedAt(change.changedAt())
				.setPrefix(change.patch().prefix())
				.setSuffix(change.patch().suffix())
				.setMiddle(change.patch().middle()));
		}
		for (Retirement retirement : image.retirements()) {
			body.addRetirements(
					ProfileRetirement.newBuilder().setName(retirement.name().value()).setVersion(retirement.version()));
		}
		return Compression.deflate(body.build().toByteArray());
	}

	@Override
	public Optional<ConfigurationImage> decode(byte[] bytes) {
		try {
			return Optional.of(image(ConfigurationState.parseFrom(Compression.inflate(bytes, MAX_IMAGE_BYTES))));
		}
		catch (IOException | IllegalArgumentException ex) {
			return Optional.empty();
		}
	}

	private static ConfigurationImage image(ConfigurationState body) {
		List<ImageProfile> profiles = body.getProfilesList()
			.stream()
			.map((text) -> new ImageProfile(new ProfileDocument(ProfileName.of(text.getName()), text.getYaml()),
					text.getChangedAt()))
			.toList();
		List<Retirement> retirements = body.getRetirementsList()
			.stream()
			.map((retirement) -> new Retirement(ProfileName.of(retirement.getName()), retirement.getVersion()))
			.toList();
		return new ConfigurationImage(body.getAsOf(), body.getVersion(), body.getNewerThan(),
				body.getForgottenVersion(), profiles,
				body.getChangesList().stream().map(DeflatedImageCodec::patch).toList(), retirements);
	}

	private static ProfilePatch patch(ProfileChange change) {
		return new ProfilePatch(ProfileName.of(change.getName()), change.getFrom(), change.getChangedAt(),
				new TextPatch(change.getPrefix(), change.getSuffix(), change.getMiddle()));
	}

}
