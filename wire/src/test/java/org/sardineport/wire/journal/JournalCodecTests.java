package org.sardineport.wire.journal;

import java.time.Instant;
import java.util.List;
import java.util.Map;

import com.google.protobuf.InvalidProtocolBufferException;
import org.junit.jupiter.api.Test;
import org.sardineport.core.admission.SchedulingRequest;
import org.sardineport.core.identity.BackendServerId;
import org.sardineport.core.identity.DaemonId;
import org.sardineport.core.identity.OrganisationId;
import org.sardineport.core.identity.PoolName;
import org.sardineport.core.identity.RequestId;
import org.sardineport.core.journal.IdempotencyKey;
import org.sardineport.core.journal.JournalEntry;
import org.sardineport.core.journal.KeyedRequest;
import org.sardineport.core.request.Fingerprint;
import org.sardineport.core.request.Outcome;
import org.sardineport.core.request.RunningPolicy;
import org.sardineport.core.request.Tier;
import org.sardineport.core.request.TokenEstimate;
import org.sardineport.wire.message.JournalBatch;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

class JournalCodecTests {

	private static final OrganisationId ORGANISATION = OrganisationId.of("acme");

	private static final Instant TIME = Instant.ofEpochMilli(1_780_000_000_123L);

	private static final Fingerprint FINGERPRINT = Fingerprint.of(-1, 2);

	private static KeyedRequest request() {
		SchedulingRequest scheduling = new SchedulingRequest(RequestId.of("r"), PoolName.of("pool"), ORGANISATION,
				Tier.BATCH, TokenEstimate.of(3, 4), -5, FINGERPRINT, RunningPolicy.RESUMABLE_ONLY, 6, TIME, TIME);
		return new KeyedRequest(new IdempotencyKey(ORGANISATION, "key", TIME), FINGERPRINT, true, "POST", "/v1/x?y=z",
				Map.of("accept", "text/plain"), new byte[] { 1, 2 }, scheduling, TIME);
	}

	static List<JournalEntry> entries() {
		return List.of(
				new JournalEntry.Accepted(ORGANISATION, "key", "t1", FINGERPRINT, TIME, TIME, DaemonId.of("d"), -7,
						"t0", request()),
				new JournalEntry.Accepted(ORGANISATION, "key", "t2", FINGERPRINT, TIME, TIME, DaemonId.of("d"), 8, "",
						null),
				new JournalEntry.Dispatched(ORGANISATION, "key", "t1", 2, BackendServerId.of("s"), "stream"),
				new JournalEntry.Released(ORGANISATION, "key", "t1"),
				new JournalEntry.ResponsePart(ORGANISATION, "key", "t1", 3, new byte[] { 4 }),
				new JournalEntry.Finished(ORGANISATION, "key", "t1", Outcome.COMPLETED, 200, Map.of("a", "b"), 4,
						new byte[] { 5 }));
	}

	@Test
	void entriesSurviveRoundTrip() throws InvalidProtocolBufferException {
		List<JournalEntry> entries = entries();
		assertThat(JournalCodec.decode(JournalCodec.encode(entries))).usingRecursiveComparison().isEqualTo(entries);
	}

	@Test
	void decodeSkipsUnknownAndInvalidEntries() throws InvalidProtocolBufferException {
		JournalBatch batch = JournalBatch.newBuilder()
			.addEntries(org.sardineport.wire.message.JournalEntry.newBuilder()
				.setOrganisation("acme")
				.setKey("key")
				.setToken("t"))
			.addEntries(org.sardineport.wire.message.JournalEntry.newBuilder().setOrganisation("not a name"))
			.build();
		assertThat(JournalCodec.decode(batch.toByteArray())).isEmpty();
	}

	@Test
	void decodeRejectsMalformedBatch() {
		assertThatThrownBy(() -> JournalCodec.decode(new byte[] { 10, 100, 1 }))
			.isInstanceOf(InvalidProtocolBufferException.class);
	}

}
