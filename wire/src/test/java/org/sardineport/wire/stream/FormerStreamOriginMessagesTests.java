package org.sardineport.wire.stream;

import java.util.List;

import com.google.protobuf.ByteString;
import org.junit.jupiter.api.Test;
import org.sardineport.core.stream.StreamOriginMessage;
import org.sardineport.wire.Samples;
import org.sardineport.wire.message.Envelope;
import org.sardineport.wire.transport.MalformedMessageException;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * Guards against a change after which daemons of two builds cannot tell each other which
 * software version began a stream. The samples hold the messages of
 * {@code StreamOriginCodecTests} in their order.
 */
class FormerStreamOriginMessagesTests {

	private static final byte UNKNOWN_KIND = 9;

	private final StreamOriginCodec codec = StreamOriginCodec.create();

	@Test
	void messagesOfA4c0e76AreUnderstoodAndWrittenInTheSameWay() throws Exception {
		List<byte[]> samples = Samples.read("stream-origin-a4c0e76.hex");
		List<StreamOriginMessage> expected = StreamOriginCodecTests.messages().limit(samples.size()).toList();
		assertThat(expected).hasSameSizeAs(samples);
		for (int i = 0; i < samples.size(); i++) {
			Envelope.Builder written = Envelope.newBuilder();
			this.codec.encode(expected.get(i), written);
			assertThat(this.codec.decode(Envelope.parseFrom(samples.get(i)))).isEqualTo(expected.get(i));
			assertThat(written.build().toByteArray()).isEqualTo(samples.get(i));
		}
	}

	@Test
	void unknownFieldsOfTheEnvelopeAreIgnored() throws Exception {
		for (byte[] sample : Samples.read("stream-origin-a4c0e76.hex")) {
			Envelope envelope = Envelope.parseFrom(sample);
			Envelope longer = Envelope.parseFrom(Samples.withUnknownField(sample));
			assertThat(this.codec.decode(longer)).isEqualTo(this.codec.decode(envelope));
		}
	}

	// A kind of a later build must be told apart from the known ones, whatever follows.
	@Test
	void unknownKindIsNotTakenForAnother() throws Exception {
		for (byte[] sample : Samples.read("stream-origin-a4c0e76.hex")) {
			byte[] body = Envelope.parseFrom(sample).getStreamOrigin().toByteArray();
			body[0] = UNKNOWN_KIND;
			Envelope later = Envelope.newBuilder().setStreamOrigin(ByteString.copyFrom(body)).build();
			assertThatExceptionOfType(MalformedMessageException.class).isThrownBy(() -> this.codec.decode(later));
		}
	}

}
