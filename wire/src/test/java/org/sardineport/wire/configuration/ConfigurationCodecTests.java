package org.sardineport.wire.configuration;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.zip.DeflaterOutputStream;

import org.junit.jupiter.api.Test;
import org.sardineport.core.configuration.ConfigurationAnnouncement;
import org.sardineport.core.configuration.ConfigurationFetch;
import org.sardineport.core.configuration.ConfigurationImage;
import org.sardineport.core.configuration.ConfigurationMessage;
import org.sardineport.core.configuration.ConfigurationRecord;
import org.sardineport.core.configuration.ImagePage;
import org.sardineport.core.configuration.ImageProfile;
import org.sardineport.core.configuration.ProfileDocument;
import org.sardineport.core.configuration.ProfilePatch;
import org.sardineport.core.configuration.Publication;
import org.sardineport.core.configuration.Retirement;
import org.sardineport.core.configuration.TextPatch;
import org.sardineport.core.configuration.UnreadableRecord;
import org.sardineport.core.identity.ProfileName;
import org.sardineport.wire.message.Envelope;
import org.sardineport.wire.transport.MalformedMessageException;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

class ConfigurationCodecTests {

	private static final ProfileDocument DOCUMENT = new ProfileDocument(ProfileName.of("a"), "name: a\n");

	static final Publication PUBLICATION = new Publication("token", 7, List.of(DOCUMENT), List.of(ProfileName.of("b")),
			"operator");

	static final ConfigurationImage IMAGE = new ConfigurationImage(9, 8, -1, 3, List.of(new ImageProfile(DOCUMENT, 8)),
			List.of(new ProfilePatch(ProfileName.of("c"), 2, 6, new TextPatch(3, 4, "middle"))),
			List.of(new Retirement(ProfileName.of("b"), 5)));

	private final ConfigurationRecordCodec records = ConfigurationRecordCodec.create();

	private final ConfigurationPeerCodec peers = ConfigurationPeerCodec.create();

	private final DeflatedImageCodec images = DeflatedImageCodec.create();

	static List<ConfigurationMessage> messages() {
		return List.of(new ConfigurationFetch(-1, 3), new ConfigurationAnnouncement(7, 9, true),
				new ImagePage("id", 8, 1, 2, new byte[] { 1, 2 }));
	}

	@Test
	void roundTripsAPublication() {
		assertThat(this.records.decode(this.records.encode(PUBLICATION))).isEqualTo(PUBLICATION);
	}

	@Test
	void roundTripsAnImageInPages() {
		byte[] encoded = this.images.encode(IMAGE);
		ByteArrayOutputStream joined = new ByteArrayOutputStream();
		List<ImagePage> pages = ImagePage.split("id", 8, encoded, 10);
		for (ImagePage page : pages) {
			ImagePage decoded = (ImagePage) this.records.decode(this.records.encode(page));
			assertThat(decoded).usingRecursiveComparison().isEqualTo(page);
			joined.writeBytes(decoded.part());
		}
		assertThat(pages).hasSizeGreaterThan(1);
		assertThat(this.images.decode(joined.toByteArray())).contains(IMAGE);
	}

	@Test
	void roundTripsMessages() throws MalformedMessageException {
		for (ConfigurationMessage message : messages()) {
			Envelope.Builder envelope = Envelope.newBuilder();
			this.peers.encode(message, envelope);
			assertThat(this.peers.decode(envelope.build())).usingRecursiveComparison().isEqualTo(message);
		}
	}

	@Test
	void messageWithoutBodyIsMalformed() {
		assertThatExceptionOfType(MalformedMessageException.class)
			.isThrownBy(() -> this.peers.decode(Envelope.getDefaultInstance()));
	}

	@Test
	void decodesDamagedRecordsWithoutException() {
		Random random = new Random(1);
		byte[] whole = this.records.encode(PUBLICATION);
		List<ConfigurationRecord> decoded = new ArrayList<>();
		for (int i = 0; i < 10_000; i++) {
			byte[] damaged = whole.clone();
			damaged[random.nextInt(damaged.length)] = (byte) random.nextInt();
			damaged[random.nextInt(damaged.length)] = (byte) random.nextInt();
			decoded.add(this.records.decode(damaged));
		}
		assertThat(decoded).hasAtLeastOneElementOfType(UnreadableRecord.class).doesNotContainNull();
		assertThat(this.records.decode(new byte[0])).isInstanceOf(UnreadableRecord.class);
	}

	@Test
	void rejectsDamagedImages() {
		byte[] whole = this.images.encode(IMAGE);
		assertThat(this.images.decode(new byte[] { 1, 2, 3 })).isEmpty();
		assertThat(this.images.decode(new byte[0])).isEmpty();
		assertThat(this.images.decode(Arrays.copyOf(whole, whole.length / 2))).isEmpty();
	}

	@Test
	void rejectsAnImageAboveTheSizeLimit() throws IOException {
		ByteArrayOutputStream bomb = new ByteArrayOutputStream();
		try (DeflaterOutputStream deflater = new DeflaterOutputStream(bomb)) {
			byte[] zeros = new byte[1024 * 1024];
			for (int i = 0; i < 40; i++) {
				deflater.write(zeros);
			}
		}
		assertThat(bomb.size()).isLessThan(100_000);
		assertThat(this.images.decode(bomb.toByteArray())).isEmpty();
	}

}
