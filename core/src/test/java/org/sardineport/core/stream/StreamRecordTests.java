package org.sardineport.core.stream;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

import org.junit.jupiter.api.Test;
import org.sardineport.core.backend.SoftwareVersion;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against messages that are late, repeated or reordered and make a stream go on at
 * a version that did not begin it.
 */
class StreamRecordTests {

	private static final SoftwareVersion V1 = SoftwareVersion.of("v1");

	private static final SoftwareVersion V2 = SoftwareVersion.of("v2");

	private static StreamRecord record(RunOrigin... reports) {
		StreamRecord record = StreamRecord.EMPTY;
		for (RunOrigin report : reports) {
			record = record.merge(StreamRecord.of(report));
		}
		return record;
	}

	// Nothing known must not be taken for the version that the platform does not list.
	@Test
	void emptyRecordIsUnknown() {
		assertThat(StreamRecord.EMPTY.origin()).isSameAs(StreamOrigin.UNKNOWN);
		assertThat(record(RunOrigin.dispatched(1, SoftwareVersion.UNKNOWN)).origin())
			.isEqualTo(StreamOrigin.of(SoftwareVersion.UNKNOWN));
	}

	// One version dispatched is the origin, also if the message is repeated.
	@Test
	void singleVersionIsKnown() {
		assertThat(record(RunOrigin.dispatched(1, V1), RunOrigin.dispatched(1, V1)).origin())
			.isEqualTo(StreamOrigin.of(V1));
	}

	// A retry at another version must not leave the first version in force.
	@Test
	void retryAtAnotherVersionIsAmbiguousUntilItBegins() {
		StreamRecord retried = record(RunOrigin.dispatched(1, V1), RunOrigin.dispatched(1, V2));
		assertThat(retried.origin()).isSameAs(StreamOrigin.AMBIGUOUS);
		assertThat(retried.merge(record(RunOrigin.begun(1, V2))).origin()).isEqualTo(StreamOrigin.of(V2));
	}

	// A dispatch that arrives after the first event must not undo what was confirmed.
	@Test
	void lateDispatchDoesNotChangeAConfirmedVersion() {
		assertThat(record(RunOrigin.begun(1, V2), RunOrigin.dispatched(1, V1)).origin()).isEqualTo(StreamOrigin.of(V2));
	}

	// A request id that was used twice must not join streams of two versions.
	@Test
	void runsOfDifferentVersionsAreAmbiguousEvenIfOneIsConfirmed() {
		assertThat(record(RunOrigin.begun(1, V2), RunOrigin.dispatched(2, V1)).origin())
			.isSameAs(StreamOrigin.AMBIGUOUS);
		assertThat(record(RunOrigin.begun(1, V2), RunOrigin.begun(1, V1), RunOrigin.begun(1, V1)).origin())
			.isSameAs(StreamOrigin.AMBIGUOUS);
		assertThat(record(RunOrigin.dispatched(1, V1), RunOrigin.dispatched(2, V1)).origin())
			.isEqualTo(StreamOrigin.of(V1));
	}

	// An id that is used without end must not grow the memory or hide a run.
	@Test
	void tooManyRunsAreAmbiguous() {
		StreamRecord record = StreamRecord.EMPTY;
		for (int run = 0; run <= StreamRecord.MAXIMUM_RUNS; run++) {
			record = record.merge(record(RunOrigin.dispatched(run, V1)));
		}
		assertThat(record.runs()).hasSize(StreamRecord.MAXIMUM_RUNS);
		assertThat(record.origin()).isSameAs(StreamOrigin.AMBIGUOUS);
	}

	// The order in which messages arrive must not decide the version.
	@Test
	void everyOrderWithRepetitionsTellsTheSame() {
		Random random = new Random(7);
		for (int round = 0; round < 2_000; round++) {
			List<RunOrigin> reports = reports(random);
			StreamOrigin expected = record(reports.toArray(RunOrigin[]::new)).origin();
			List<RunOrigin> shuffled = new ArrayList<>(reports);
			shuffled.addAll(reports.subList(0, random.nextInt(reports.size())));
			Collections.shuffle(shuffled, random);
			assertThat(record(shuffled.toArray(RunOrigin[]::new)).origin()).as("round %d: %s", round, shuffled)
				.isEqualTo(expected);
		}
	}

	private static List<RunOrigin> reports(Random random) {
		List<RunOrigin> reports = new ArrayList<>();
		int count = 1 + random.nextInt(6);
		for (int i = 0; i < count; i++) {
			SoftwareVersion version = SoftwareVersion.of("v" + random.nextInt(3));
			int run = random.nextInt(2);
			reports.add((random.nextInt(3) != 0) ? RunOrigin.dispatched(run, version) : RunOrigin.begun(run, version));
		}
		return reports;
	}

}
