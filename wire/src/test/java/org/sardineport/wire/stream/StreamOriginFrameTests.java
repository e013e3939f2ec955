package org.sardineport.wire.stream;

import java.lang.System.Logger.Level;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.sardineport.core.backend.SoftwareVersion;
import org.sardineport.core.identity.DaemonId;
import org.sardineport.core.identity.NetworkAddress;
import org.sardineport.core.stream.OriginQuery;
import org.sardineport.core.stream.OriginReply;
import org.sardineport.core.stream.OriginReport;
import org.sardineport.core.stream.RunOrigin;
import org.sardineport.core.stream.StreamKey;
import org.sardineport.core.stream.StreamOriginMessage;
import org.sardineport.core.stream.StreamRecord;
import org.sardineport.wire.transport.FrameSizes;
import org.sardineport.wire.transport.PeerIdentity;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against messages that grow, as several are sent for each stream.
 */
class StreamOriginFrameTests {

	private static final System.Logger LOG = System.getLogger(StreamOriginFrameTests.class.getName());

	private static final NetworkAddress ADDRESS = NetworkAddress.of("10.0.12.34", 7000);

	private static final StreamKey KEY = new StreamKey(-7, 9);

	private static final RunOrigin RUN = RunOrigin.dispatched(-5, SoftwareVersion.of("v1.2"));

	private static int bytes(StreamOriginMessage message) {
		PeerIdentity identity = new PeerIdentity("sardineport", DaemonId.of("daemon-0123"), 1_764_000_000_000L, ADDRESS,
				List.of("0123456789abcdef0123456789abcdef"));
		int bytes = FrameSizes.of(identity, List.of(StreamOriginCodec.create()), InstantSource.system())
			.bytes(ADDRESS, message);
		LOG.log(Level.INFO, "{0}: {1} bytes", message.getClass().getSimpleName(), bytes);
		return bytes;
	}

	// A frame that outgrows its share multiplies with the streams of the whole fleet.
	@Test
	void framesAreSmall() {
		assertThat(bytes(new OriginReport(KEY, RUN, Duration.ofSeconds(60), 77))).isLessThanOrEqualTo(130);
		assertThat(bytes(new OriginReply(KEY, 77, StreamRecord.of(RUN)))).isLessThanOrEqualTo(130);
		assertThat(bytes(new OriginQuery(KEY, 77))).isLessThanOrEqualTo(115);
	}

}
