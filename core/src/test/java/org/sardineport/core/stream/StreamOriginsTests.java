package org.sardineport.core.stream;

import java.time.Duration;

import org.junit.jupiter.api.Test;
import org.sardineport.core.backend.SoftwareVersion;
import org.sardineport.core.identity.OrganisationId;

import static org.assertj.core.api.Assertions.assertThat;

class StreamOriginsTests {

	private static final SoftwareVersion V1 = SoftwareVersion.of("v1");

	private static final SoftwareVersion V2 = SoftwareVersion.of("v2");

	private static StreamKey key(int number) {
		return StreamKey.of(OrganisationId.of("o"), "id-" + number);
	}

	// A memory without a bound would end the daemon.
	@Test
	void evictsTheOldestRecordAndCountsIt() {
		StreamOrigins origins = StreamOrigins.withMaximum(3);
		for (int i = 0; i < 5; i++) {
			origins.add(key(i), RunOrigin.dispatched(1, V1), 1_000, i);
		}
		assertThat(origins.size()).isEqualTo(3);
		assertThat(origins.evictions()).isEqualTo(2);
		assertThat(origins.find(key(1), 10)).isEqualTo(StreamRecord.EMPTY);
		assertThat(origins.find(key(2), 10).origin()).isEqualTo(StreamOrigin.of(V1));
	}

	// A record must not outlive the time in which its caller may come back.
	@Test
	void recordExpires() {
		StreamOrigins origins = StreamOrigins.withMaximum(3);
		origins.add(key(1), RunOrigin.dispatched(1, V1), 100, 0);
		origins.add(key(2), RunOrigin.dispatched(1, V1), 300, 0);
		assertThat(origins.find(key(1), 99).origin()).isEqualTo(StreamOrigin.of(V1));
		origins.expire(100);
		assertThat(origins.size()).isOne();
		assertThat(origins.find(key(1), 100)).isEqualTo(StreamRecord.EMPTY);
	}

	// A later report with a shorter time must not make an earlier run of the key
	// forgotten.
	@Test
	void laterReportDoesNotShortenTheTime() {
		StreamOrigins origins = StreamOrigins.withMaximum(3);
		origins.add(key(1), RunOrigin.dispatched(1, V1), 300, 0);
		origins.add(key(1), RunOrigin.dispatched(2, V2), 100, 0);
		assertThat(origins.find(key(1), 200).origin()).isSameAs(StreamOrigin.AMBIGUOUS);
	}

	// A sender must not be able to fill the memory for ever.
	@Test
	void timeIsLimited() {
		StreamOrigins origins = StreamOrigins.withMaximum(3);
		origins.add(key(1), RunOrigin.dispatched(1, V1), Long.MAX_VALUE, 0);
		long limit = StreamOrigins.MAXIMUM_KEEP.toMillis();
		assertThat(origins.find(key(1), limit - 1).origin()).isEqualTo(StreamOrigin.of(V1));
		assertThat(origins.find(key(1), limit)).isEqualTo(StreamRecord.EMPTY);
		assertThat(StreamOrigins.MAXIMUM_KEEP).isEqualTo(Duration.ofMinutes(15));
	}

}
