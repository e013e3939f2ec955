package org.sardineport.core.stop;

import java.time.Duration;
import java.time.Instant;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class PlannedStopTests {

	private static final Duration LINGER = Duration.ofSeconds(15);

	private static final Duration NO_LIMIT = Duration.ZERO;

	private Instant now = Instant.parse("2026-12-03T08:00:00Z");

	private PlannedStop stop(Duration limit) {
		return PlannedStop.create(new StopTiming(LINGER, limit), () -> this.now);
	}

	private void advanceTime(Duration duration) {
		this.now = this.now.plus(duration);
	}

	@Test
	void servesUntilStopIsRequested() {
		PlannedStop stop = stop(NO_LIMIT);
		advanceTime(Duration.ofDays(1));
		assertThat(stop.advance(0, true)).isEqualTo(StopPhase.SERVING);
	}

	@Test
	void acceptsRequestsWhileLingeringThenRefusesThem() {
		PlannedStop stop = stop(NO_LIMIT);
		stop.request(false);
		stop.announced();
		advanceTime(LINGER.minusMillis(1));
		assertThat(stop.advance(3, false).acceptsRequests()).isTrue();
		advanceTime(Duration.ofMillis(1));
		assertThat(stop.advance(3, false)).isEqualTo(StopPhase.DRAINING);
		assertThat(stop.phase().acceptsRequests()).isFalse();
	}

	@Test
	void lingerStartsAtAnnouncementNotAtRequest() {
		PlannedStop stop = stop(NO_LIMIT);
		stop.request(false);
		advanceTime(LINGER);
		assertThat(stop.advance(0, true)).isEqualTo(StopPhase.LINGERING);
		stop.announced();
		advanceTime(LINGER.minusMillis(1));
		assertThat(stop.advance(0, true)).isEqualTo(StopPhase.LINGERING);
	}

	@Test
	void waitsForWorkInFlightWithoutLimit() {
		PlannedStop stop = stop(NO_LIMIT);
		stop.request(false);
		stop.announced();
		advanceTime(LINGER);
		for (int hour = 0; hour < 48; hour++) {
			assertThat(stop.advance(1, true)).isEqualTo(StopPhase.DRAINING);
			advanceTime(Duration.ofHours(1));
		}
		assertThat(stop.advance(0, true)).isEqualTo(StopPhase.ENDED);
		assertThat(stop.isAborted()).isFalse();
	}

	@Test
	void waitsForFlushDuringOutage() {
		PlannedStop stop = stop(NO_LIMIT);
		stop.request(false);
		stop.announced();
		advanceTime(LINGER);
		assertThat(stop.advance(0, false)).isEqualTo(StopPhase.FLUSHING);
		advanceTime(Duration.ofHours(2));
		assertThat(stop.advance(0, false)).isEqualTo(StopPhase.FLUSHING);
		assertThat(stop.advance(0, true)).isEqualTo(StopPhase.ENDED);
	}

	@Test
	void ignoresFurtherRequests() {
		PlannedStop stop = stop(Duration.ofSeconds(60));
		assertThat(stop.request(false)).isTrue();
		stop.announced();
		advanceTime(Duration.ofSeconds(10));
		assertThat(stop.request(true)).isFalse();
		stop.announced();
		advanceTime(Duration.ofSeconds(5));
		assertThat(stop.advance(1, false)).isEqualTo(StopPhase.DRAINING);
	}

	@Test
	void skipsLingerWhenDaemonNeverServed() {
		PlannedStop stop = stop(NO_LIMIT);
		stop.request(true);
		assertThat(stop.advance(0, true)).isEqualTo(StopPhase.ENDED);
	}

	@Test
	void abortsWorkOnlyAtOperatorLimit() {
		PlannedStop stop = stop(Duration.ofSeconds(60));
		stop.request(false);
		stop.announced();
		advanceTime(Duration.ofSeconds(60).minusMillis(1));
		assertThat(stop.advance(1, false)).isEqualTo(StopPhase.DRAINING);
		advanceTime(Duration.ofMillis(1));
		assertThat(stop.advance(1, false)).isEqualTo(StopPhase.ENDED);
		assertThat(stop.isAborted()).isTrue();
	}

	@Test
	void lingerCoversKeepTimeAndPropagation() {
		Duration keepTime = Duration.ofSeconds(10);
		Duration propagationBound = Duration.ofSeconds(3);
		assertThat(StopTiming.withMinimumLinger(Duration.ofSeconds(1), NO_LIMIT, keepTime, propagationBound).linger())
			.isEqualTo(Duration.ofSeconds(13));
		assertThat(StopTiming.withMinimumLinger(LINGER, NO_LIMIT, keepTime, propagationBound).linger())
			.isEqualTo(LINGER);
	}

}
