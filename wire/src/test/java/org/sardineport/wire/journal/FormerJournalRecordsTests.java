package org.sardineport.wire.journal;

import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

import org.junit.jupiter.api.Test;
import org.sardineport.core.journal.JournalEntry;
import org.sardineport.wire.Samples;
import org.sardineport.wire.message.JournalBatch;
import org.sardineport.wire.message.JournalEntry.BodyCase;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a change after which requests that an earlier build has recorded are
 * lost, or those of this build to daemons of an earlier one.
 */
class FormerJournalRecordsTests {

	private static final int ENTRIES = JournalBatch.ENTRIES_FIELD_NUMBER;

	private static final Set<Integer> KINDS = Arrays.stream(BodyCase.values())
		.filter((kind) -> kind != BodyCase.BODY_NOT_SET)
		.map(BodyCase::getNumber)
		.collect(Collectors.toSet());

	private static JournalBatch sample() throws Exception {
		return JournalBatch.parseFrom(Samples.read("journal-a4c0e76.hex").get(0));
	}

	private static void assertUnderstood(List<JournalEntry> entries) {
		assertThat(entries).usingRecursiveComparison().isEqualTo(JournalCodecTests.entries());
	}

	@Test
	void recordsOfA4c0e76AreUnderstoodAndWrittenInTheSameWay() throws Exception {
		assertUnderstood(JournalCodec.decode(sample().toByteArray()));
		assertThat(JournalCodec.encode(JournalCodecTests.entries())).isEqualTo(sample().toByteArray());
	}

	@Test
	void eachKindHasASample() throws Exception {
		assertThat(sample().getEntriesList()).extracting(org.sardineport.wire.message.JournalEntry::getBodyCase)
			.extracting(BodyCase::getNumber)
			.containsAll(KINDS);
	}

	@Test
	void unknownFieldsAreIgnored() throws Exception {
		byte[] sample = sample().toByteArray();
		assertUnderstood(JournalCodec.decode(Samples.withUnknownField(sample)));
		assertUnderstood(JournalCodec.decode(Samples.withUnknownField(sample, ENTRIES)));
		for (int kind : KINDS) {
			assertUnderstood(JournalCodec.decode(Samples.withUnknownField(sample, ENTRIES, kind)));
		}
	}

	// An entry of a later kind must not take the others of its record with it.
	@Test
	void unknownKindsAreSkippedAlone() throws Exception {
		JournalBatch.Builder batch = sample().toBuilder();
		byte[] withoutKind = batch.getEntries(0).toBuilder().clearBody().build().toByteArray();
		batch.addEntries(0, org.sardineport.wire.message.JournalEntry.parseFrom(Samples.withUnknownField(withoutKind)));
		assertUnderstood(JournalCodec.decode(batch.build().toByteArray()));
	}

}
