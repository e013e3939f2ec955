package org.sardineport.core.membership;

import java.time.Duration;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

class MembershipTimingTests {

	@ParameterizedTest
	@CsvSource({ "400, 400, 1000", "400, 0, 1000", "400, 200, 0", "400, -1, 1000", "0, 0, 1000" })
	void rejectsInvalidTimes(long interval, long timeout, long suspicion) {
		assertThatIllegalArgumentException().isThrownBy(() -> new MembershipTiming(Duration.ofMillis(interval),
				Duration.ofMillis(timeout), Duration.ofMillis(suspicion)));
	}

	@Test
	void detectionBoundIsThreeIntervalsPlusSuspicionTimeout() {
		MembershipTiming timing = new MembershipTiming(Duration.ofMillis(400), Duration.ofMillis(200),
				Duration.ofMillis(1000));
		assertThat(timing.detectionBound()).isEqualTo(Duration.ofMillis(2200));
	}

}
