package org.sardineport.wire.transport;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HexFormat;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.sardineport.core.identity.BackendServerId;
import org.sardineport.core.membership.LeavingUpdate;
import org.sardineport.core.membership.MembershipMessage;
import org.sardineport.wire.message.Envelope;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Decodes messages that daemons of former builds wrote, kept as resources under the
 * commit of their build. Guards against a change after which daemons of both builds
 * cannot run side by side.
 */
class FormerMessagesTests {

	private static final byte[] UNKNOWN_FIELD = HexFormat.of().parseHex("fa3f03010203");

	private final MembershipCodec codec = MembershipCodec.create();

	private static List<byte[]> samples(String resource) throws IOException {
		try (InputStream in = FormerMessagesTests.class.getResourceAsStream("/samples/" + resource)) {
			return new String(in.readAllBytes(), StandardCharsets.US_ASCII).lines()
				.map(HexFormat.of()::parseHex)
				.toList();
		}
	}

	// Builds up to a4c0e76 told only the names of leaving backend servers.
	private static List<MembershipMessage> expected() {
		return MembershipCodecTests
			.messages(List.of(LeavingUpdate.ofAnyProcess(BackendServerId.of("w2"), Duration.ofMillis(250))))
			.toList();
	}

	@Test
	void membershipMessagesOfA4c0e76AreUnderstood() throws Exception {
		List<byte[]> samples = samples("membership-a4c0e76.hex");
		List<MembershipMessage> expected = expected();
		assertThat(samples).hasSameSizeAs(expected);
		for (int i = 0; i < samples.size(); i++) {
			assertThat(this.codec.decode(Envelope.parseFrom(samples.get(i)))).isEqualTo(expected.get(i));
		}
	}

	@Test
	void unknownFieldsAreIgnored() throws Exception {
		for (byte[] sample : samples("membership-a4c0e76.hex")) {
			byte[] longer = new byte[sample.length + UNKNOWN_FIELD.length];
			System.arraycopy(sample, 0, longer, 0, sample.length);
			System.arraycopy(UNKNOWN_FIELD, 0, longer, sample.length, UNKNOWN_FIELD.length);
			assertThat(this.codec.decode(Envelope.parseFrom(longer)))
				.isEqualTo(this.codec.decode(Envelope.parseFrom(sample)));
		}
	}

}
