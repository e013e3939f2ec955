package org.sardineport.core.configuration;

import java.time.Duration;
import java.time.Instant;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class SnapshotScheduleTests {

	private static final Duration INTERVAL = Duration.ofMinutes(10);

	@Test
	void isDueAfterIntervalPlusJitterWithoutSnapshot() {
		SnapshotSchedule schedule = SnapshotSchedule.create(INTERVAL, 0.5, Instant.EPOCH);
		assertThat(schedule.isDue(Instant.EPOCH.plus(INTERVAL))).isFalse();
		assertThat(schedule.isDue(Instant.EPOCH.plus(Duration.ofMinutes(15)))).isTrue();
	}

	@Test
	void snapshotsOfOthersPostponeIt() {
		SnapshotSchedule schedule = SnapshotSchedule.create(INTERVAL, 0, Instant.EPOCH);
		schedule.seen(Instant.EPOCH.plus(INTERVAL));
		assertThat(schedule.isDue(Instant.EPOCH.plus(INTERVAL))).isFalse();
		schedule.seen(Instant.EPOCH);
		assertThat(schedule.isDue(Instant.EPOCH.plus(INTERVAL))).as("an older one has no effect").isFalse();
		assertThat(schedule.isDue(Instant.EPOCH.plus(INTERVAL.multipliedBy(2)))).isTrue();
	}

}
