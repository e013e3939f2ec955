package org.sardineport.wire.stream;

import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.stream.Stream;

import com.google.protobuf.ByteString;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.sardineport.core.backend.SoftwareVersion;
import org.sardineport.core.stream.OriginQuery;
import org.sardineport.core.stream.OriginReply;
import org.sardineport.core.stream.OriginReport;
import org.sardineport.core.stream.RunOrigin;
import org.sardineport.core.stream.RunState;
import org.sardineport.core.stream.StreamKey;
import org.sardineport.core.stream.StreamOriginMessage;
import org.sardineport.core.stream.StreamOrigins;
import org.sardineport.core.stream.StreamRecord;
import org.sardineport.wire.message.Envelope;
import org.sardineport.wire.transport.MalformedMessageException;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

/**
 * Guards against damaged messages that make a daemon remember or believe a wrong version.
 */
class StreamOriginCodecTests {

	private static final StreamKey KEY = new StreamKey(-7, Long.MAX_VALUE);

	private static final RunOrigin RUN = RunOrigin.dispatched(-1, SoftwareVersion.of("v1.2-ü"));

	static Stream<StreamOriginMessage> messages() {
		StreamRecord record = new StreamRecord(List.of(RUN, RunOrigin.begun(5, SoftwareVersion.UNKNOWN),
				new RunOrigin(6, RunState.SEVERAL, SoftwareVersion.UNKNOWN),
				new RunOrigin(7, RunState.CONTRADICTORY, SoftwareVersion.UNKNOWN)), true);
		return Stream.of(new OriginReport(KEY, RUN, Duration.ofMillis(1234), 0),
				new OriginReport(KEY, RUN, StreamOrigins.MAXIMUM_KEEP, Integer.MIN_VALUE), new OriginQuery(KEY, -9),
				new OriginReply(KEY, 8, StreamRecord.EMPTY), new OriginReply(KEY, 8, record));
	}

	private static Envelope encode(StreamOriginMessage message) {
		Envelope.Builder envelope = Envelope.newBuilder();
		StreamOriginCodec.create().encode(message, envelope);
		return envelope.build();
	}

	private static StreamOriginMessage decode(byte[] body) throws MalformedMessageException {
		return StreamOriginCodec.create()
			.decode(Envelope.newBuilder().setStreamOrigin(ByteString.copyFrom(body)).build());
	}

	// A field that is not carried over would change what is known of a stream.
	@ParameterizedTest
	@MethodSource("messages")
	void messageSurvivesRoundTripInAnEnvelope(StreamOriginMessage message) throws Exception {
		Envelope received = Envelope.parseFrom(encode(message).toByteArray());
		assertThat(received.getBodyCase()).isEqualTo(Envelope.BodyCase.STREAM_ORIGIN);
		assertThat(StreamOriginCodec.create().decode(received)).isEqualTo(message);
	}

	// A message cut short, at any byte, must not be read as a shorter one.
	@ParameterizedTest
	@MethodSource("messages")
	void rejectsEveryTruncation(StreamOriginMessage message) {
		byte[] body = encode(message).getStreamOrigin().toByteArray();
		for (int length = 0; length < body.length; length++) {
			byte[] truncated = Arrays.copyOf(body, length);
			assertThatExceptionOfType(MalformedMessageException.class).isThrownBy(() -> decode(truncated));
		}
	}

	// Bytes after the end show that the message is not what it seems to be.
	@ParameterizedTest
	@MethodSource("messages")
	void rejectsBytesLeftOver(StreamOriginMessage message) {
		byte[] body = encode(message).getStreamOrigin().toByteArray();
		assertThatExceptionOfType(MalformedMessageException.class)
			.isThrownBy(() -> decode(Arrays.copyOf(body, body.length + 1)));
	}

	// Damaged bytes must be rejected or read as a valid message, never fail otherwise.
	@ParameterizedTest
	@MethodSource("messages")
	void damagedMessagesAreRejectedOrValid(StreamOriginMessage message) {
		Random random = new Random(11);
		byte[] body = encode(message).getStreamOrigin().toByteArray();
		for (int round = 0; round < 5_000; round++) {
			byte[] damaged = body.clone();
			damaged[random.nextInt(damaged.length)] ^= (byte) (1 << random.nextInt(8));
			damaged[random.nextInt(damaged.length)] = (byte) random.nextInt();
			try {
				StreamOriginMessage read = decode(damaged);
				assertThat(encode(read).getStreamOrigin().toByteArray()).as("round %d", round).hasSize(damaged.length);
			}
			catch (MalformedMessageException ex) {
				assertThat(ex).hasMessageContaining("can't be read");
			}
		}
	}

	// A run listed twice could state two versions, one of which would be lost.
	@Test
	void rejectsARunListedTwice() {
		byte[] body = encode(new OriginReply(KEY, 8, new StreamRecord(List.of(RUN, RUN), false))).getStreamOrigin()
			.toByteArray();
		assertThatExceptionOfType(MalformedMessageException.class).isThrownBy(() -> decode(body))
			.withStackTraceContaining("repeated");
	}

	// A version cut to fit would equal another one.
	@Test
	void refusesToSendAVersionThatIsTooLong() {
		RunOrigin run = RunOrigin.dispatched(1, SoftwareVersion.of("v".repeat(1_025)));
		assertThatIllegalArgumentException()
			.isThrownBy(() -> encode(new OriginReport(KEY, run, Duration.ofSeconds(1), 0)));
	}

}
