package org.sardineport.wire.configuration;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.sardineport.core.configuration.ConfigurationMessage;
import org.sardineport.core.configuration.ImagePage;
import org.sardineport.core.configuration.UnreadableRecord;
import org.sardineport.wire.Samples;
import org.sardineport.wire.message.ConfigurationRecord;
import org.sardineport.wire.message.Envelope;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a change after which daemons of two builds see different configurations.
 * The records are a publication and a page with an image, the messages those of
 * {@code ConfigurationCodecTests} in their order.
 */
class FormerConfigurationTests {

	private static final String RECORDS = "configuration-records-a4c0e76.hex";

	private static final String MESSAGES = "configuration-messages-a4c0e76.hex";

	private final ConfigurationRecordCodec records = ConfigurationRecordCodec.create();

	private final ConfigurationPeerCodec peers = ConfigurationPeerCodec.create();

	private void assertUnderstood(byte[] publication, byte[] page) {
		assertThat(this.records.decode(publication)).isEqualTo(ConfigurationCodecTests.PUBLICATION);
		byte[] image = ((ImagePage) this.records.decode(page)).part();
		assertThat(DeflatedImageCodec.create().decode(image)).contains(ConfigurationCodecTests.IMAGE);
	}

	@Test
	void recordsOfA4c0e76AreUnderstood() throws Exception {
		List<byte[]> samples = Samples.read(RECORDS);
		assertUnderstood(samples.get(0), samples.get(1));
	}

	@Test
	void unknownFieldsOfRecordsAreIgnored() throws Exception {
		byte[] publication = Samples.read(RECORDS).get(0);
		byte[] page = Samples.read(RECORDS).get(1);
		assertUnderstood(Samples.withUnknownField(publication), Samples.withUnknownField(page));
		assertUnderstood(publication, Samples.withUnknownField(page, ConfigurationRecord.SNAPSHOT_FIELD_NUMBER));
	}

	// A record of a later kind must be skipped, not end the reading of the stream.
	@Test
	void unknownKindOfRecordIsUnreadable() throws Exception {
		byte[] later = Samples.withUnknownField(new byte[0]);
		assertThat(this.records.decode(later)).isInstanceOf(UnreadableRecord.class);
	}

	@Test
	void messagesOfA4c0e76AreUnderstoodAndWrittenInTheSameWay() throws Exception {
		List<byte[]> samples = Samples.read(MESSAGES);
		List<ConfigurationMessage> expected = ConfigurationCodecTests.messages();
		assertThat(samples).hasSameSizeAs(expected);
		for (int i = 0; i < samples.size(); i++) {
			Envelope.Builder written = Envelope.newBuilder();
			this.peers.encode(expected.get(i), written);
			Envelope sample = Envelope.parseFrom(samples.get(i));
			Envelope longer = Envelope
				.parseFrom(Samples.withUnknownField(samples.get(i), Envelope.CONFIGURATION_FIELD_NUMBER));
			assertThat(this.peers.decode(sample)).usingRecursiveComparison().isEqualTo(expected.get(i));
			assertThat(this.peers.decode(longer)).usingRecursiveComparison().isEqualTo(expected.get(i));
			assertThat(written.build().toByteArray()).isEqualTo(samples.get(i));
		}
	}

}
