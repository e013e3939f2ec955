package org.sardineport.daemon.eventloop;

import java.time.Duration;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class TickScheduleTests {

	private static final long START = 1_000;

	private static final Duration INTERVAL = Duration.ofMillis(25);

	private static final long INTERVAL_NANOS = INTERVAL.toNanos();

	private final TickSchedule schedule = new TickSchedule(INTERVAL, START);

	// Threads of idle daemons woke 20 to 40 times a second to find nothing to do.
	@Test
	void sleepsUntilThereIsWork() {
		this.schedule.due(Duration.ofSeconds(1), START);
		assertThat(this.schedule.nanosUntilRun(START)).isEqualTo(1_000_000_000);
	}

	@Test
	void runsOnceInTheIntervalWhileThereIsWork() {
		this.schedule.due(Duration.ZERO, START);
		assertThat(this.schedule.nanosUntilRun(START)).isEqualTo(INTERVAL_NANOS);
		long first = START + INTERVAL_NANOS;
		assertThat(this.schedule.nanosUntilRun(first)).isZero();
		this.schedule.ran(first);
		this.schedule.due(Duration.ofMillis(-5), first);
		assertThat(this.schedule.nanosUntilRun(first)).isEqualTo(INTERVAL_NANOS);
	}

	// Work that comes in after a long sleep must not wait for another interval.
	@Test
	void runsImmediatelyIfWorkComesAfterTheInterval() {
		this.schedule.due(Duration.ofSeconds(5), START);
		long later = START + Duration.ofSeconds(2).toNanos();
		this.schedule.due(Duration.ZERO, later);
		assertThat(this.schedule.nanosUntilRun(later)).isNotPositive();
	}

	@Test
	void workThatIsDoneIsNoReasonToRun() {
		this.schedule.due(Duration.ZERO, START);
		this.schedule.due(Duration.ofSeconds(1), START + 1);
		assertThat(this.schedule.nanosUntilRun(START + INTERVAL_NANOS)).isPositive();
	}

}
