package org.sardineport.bench.slope;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.UUID;

import org.sardineport.core.identity.BackendServerId;
import org.sardineport.core.identity.DaemonId;
import org.sardineport.core.identity.OrganisationId;
import org.sardineport.core.journal.JournalEntry;
import org.sardineport.core.journal.JournalLimits;
import org.sardineport.core.journal.JournalReplay;
import org.sardineport.core.request.Fingerprint;
import org.sardineport.core.request.Outcome;
import org.sardineport.wire.journal.JournalCodec;

/**
 * Costs of the request journal, for non-idempotent requests with short responses.
 */
final class JournalSlopes {

	private static final Instant START = Instant.parse("2026-12-03T08:00:00Z");

	private static final int RESPONSE_BYTES = 120;

	private JournalSlopes() {
	}

	static List<SlopeProbe> probes() {
		List<Integer> keys = List.of(20_000, 40_000, 80_000);
		return List.of(
				new SlopeProbe("key-memory", Role.JOURNAL_WRITER, "remembered keys", CostUnit.HEAP_BYTES, keys,
						JournalSlopes::memory),
				new SlopeProbe("key-replay-time", Role.JOURNAL_WRITER, "keyed requests", CostUnit.CPU_NANOSECONDS, keys,
						JournalSlopes::replayTime),
				new SlopeProbe("key-log-bytes", Role.JOURNAL_WRITER, "keyed requests", CostUnit.WIRE_BYTES,
						List.of(1_000, 2_000, 4_000), JournalSlopes::logBytes));
	}

	private static double memory(int keys, long seed) {
		return HeapMeter.retainedBytes(() -> {
			JournalReplay replay = JournalReplay.create(JournalLimits.of(Duration.ofHours(1)));
			for (int i = 0; i < keys; i++) {
				apply(replay, i, entries(i, seed));
			}
			if (!replay.active().isEmpty()) {
				throw new IllegalStateException("replay must not leave an active request");
			}
			return replay;
		});
	}

	private static double replayTime(int keys, long seed) {
		List<byte[]> records = new ArrayList<>();
		for (int i = 0; i < keys; i++) {
			records.add(JournalCodec.encode(entries(i, seed)));
		}
		return CpuTimeMeter.cpuNanos(() -> {
			JournalReplay replay = JournalReplay.create(JournalLimits.of(Duration.ofHours(1)));
			for (int i = 0; i < keys; i++) {
				apply(replay, i, decode(records.get(i)));
			}
		});
	}

	private static double logBytes(int keys, long seed) {
		double bytes = 0;
		for (int i = 0; i < keys; i++) {
			bytes += JournalCodec.encode(entries(i, seed)).length;
		}
		return bytes;
	}

	private static void apply(JournalReplay replay, long offset, List<JournalEntry> entries) {
		entries.forEach((entry) -> replay.apply(offset, START, entry));
	}

	private static List<JournalEntry> decode(byte[] bytes) {
		try {
			return JournalCodec.decode(bytes);
		}
		catch (com.google.protobuf.InvalidProtocolBufferException ex) {
			throw new IllegalStateException("record written by this measurement must be readable", ex);
		}
	}

	private static List<JournalEntry> entries(int number, long seed) {
		OrganisationId organisation = OrganisationId.of("organisation-" + number % DesignScale.ORGANISATIONS);
		String key = new UUID(START.toEpochMilli() << 16 | 0x7000 | seed, number).toString();
		String token = "entry-vm-1234-" + number;
		return List.of(
				new JournalEntry.Accepted(organisation, key, token, Fingerprint.of(seed, number), START,
						START.plusSeconds(30), DaemonId.of("entry-vm-1234"), 1, "", null),
				new JournalEntry.Dispatched(organisation, key, token, 1, BackendServerId.of("worker-12"), token),
				new JournalEntry.Finished(organisation, key, token, Outcome.COMPLETED, 200,
						Map.of("content-type", "application/json"), 0, new byte[RESPONSE_BYTES]));
	}

}
