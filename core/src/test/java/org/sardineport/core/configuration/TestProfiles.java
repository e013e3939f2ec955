package org.sardineport.core.configuration;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.sardineport.core.error.DocumentFault;
import org.sardineport.core.error.InvalidDocumentException;
import org.sardineport.core.identity.ProfileName;
import org.sardineport.core.profile.Profile;

/**
 * Test profiles. The text of a profile is its name, a space and arbitrary text; a text
 * that begins with {@code bad} fails to parse.
 */
final class TestProfiles {

	static final ProfileParser PARSER = TestProfiles::parse;

	private TestProfiles() {
	}

	static ProfileDocument document(String name, String rest) {
		return new ProfileDocument(ProfileName.of(name), name + " " + rest);
	}

	static Publication publish(String token, long base, ProfileDocument... documents) {
		return new Publication(token, base, List.of(documents), List.of(), "test");
	}

	static Publication retire(String token, long base, String... names) {
		return new Publication(token, base, List.of(), List.of(names).stream().map(ProfileName::of).toList(), "test");
	}

	static List<ImagePage> pages(String id, ConfigurationState state, long asOf, long newerThan, int pageBytes) {
		byte[] image = MemoryCodec.INSTANCE.encode(state.image(asOf, newerThan));
		return ImagePage.split(id, state.version(), image, pageBytes);
	}

	private static Profile parse(String text) throws InvalidDocumentException {
		if (text.startsWith("bad")) {
			throw InvalidDocumentException.of("profile", List.of(new DocumentFault("", 1, "a fault", "correct it")));
		}
		return new Profile(ProfileName.of(text.split(" ")[0]), List.of(), Map.of());
	}

	/**
	 * Codec that keeps images in memory and encodes an image as its index.
	 */
	static final class MemoryCodec implements ImageCodec {

		static final MemoryCodec INSTANCE = new MemoryCodec();

		private final List<ConfigurationImage> images = new ArrayList<>();

		@Override
		public synchronized byte[] encode(ConfigurationImage image) {
			this.images.add(image);
			return ByteBuffer.allocate(Integer.BYTES).putInt(this.images.size() - 1).array();
		}

		@Override
		public synchronized Optional<ConfigurationImage> decode(byte[] bytes) {
			int number = (bytes.length == Integer.BYTES) ? ByteBuffer.wrap(bytes).getInt() : -1;
			return (number >= 0 && number < this.images.size()) ? Optional.of(this.images.get(number))
					: Optional.empty();
		}

	}

}
