package org.sardineport.bench.journal;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.UUID;

import com.google.protobuf.InvalidProtocolBufferException;
import org.sardineport.bench.HeapUsage;
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
 * Throughput and memory of a journal replay.
 *
 * @param recordsPerSecond records of one entry each that are decoded and applied per
 * second
 * @param bytesPerKey heap retained for each remembered key, in bytes
 */
record ReplayCost(double recordsPerSecond, double bytesPerKey) {

	/** Garbage collections before each reading of the heap. */
	private static final int COLLECTIONS = 3;

	private static final int ENTRIES_PER_KEY = 3;

	static ReplayCost measure(int keys) throws InvalidProtocolBufferException {
		List<byte[]> records = records(keys);
		replay(records);
		long before = HeapUsage.usedBytes(COLLECTIONS);
		long start = System.nanoTime();
		JournalReplay replay = replay(records);
		double seconds = (System.nanoTime() - start) / 1e9;
		long retained = HeapUsage.usedBytes(COLLECTIONS) - before;
		if (replay.size() != keys) {
			throw new IllegalStateException("replay remembers %d keys, expected %d".formatted(replay.size(), keys));
		}
		return new ReplayCost(records.size() / seconds, (double) retained / keys);
	}

	private static JournalReplay replay(List<byte[]> records) throws InvalidProtocolBufferException {
		JournalReplay replay = JournalReplay.create(JournalLimits.of(Duration.ofHours(1)));
		Instant now = Instant.now();
		long offset = 0;
		for (byte[] record : records) {
			for (JournalEntry entry : JournalCodec.decode(record)) {
				replay.apply(offset, now, entry);
			}
			offset++;
		}
		return replay;
	}

	private static List<byte[]> records(int keys) {
		OrganisationId organisation = OrganisationId.of("organisation");
		Instant now = Instant.now();
		SplittableRandom random = new SplittableRandom(1);
		List<byte[]> records = new ArrayList<>(ENTRIES_PER_KEY * keys);
		for (int number = 0; number < keys; number++) {
			String key = new UUID(random.nextLong(), random.nextLong()).toString();
			String token = "daemon-1.abcdefgh." + number;
			records.add(record(new JournalEntry.Accepted(organisation, key, token,
					Fingerprint.of(random.nextLong(), random.nextLong()), now, now.plusSeconds(30),
					DaemonId.of("daemon-1"), 1, "", null)));
			records.add(record(new JournalEntry.Dispatched(organisation, key, token, 1, BackendServerId.of("ledger-1"),
					"stream-" + number)));
			records.add(record(new JournalEntry.Finished(organisation, key, token, Outcome.COMPLETED, 200, Map.of(), 0,
					new byte[100])));
		}
		return records;
	}

	private static byte[] record(JournalEntry entry) {
		return JournalCodec.encode(List.of(entry));
	}

}
