package org.sardineport.core.relay;

import java.time.Duration;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against read intervals that overload the store in a large fleet or miss the time
 * limit for removing a backend server.
 */
class ReadPacingTests {

	@ParameterizedTest
	@CsvSource({ "1, 1000", "8, 1000", "16, 1000", "24, 1500", "88, 2000", "3300, 2000" })
	void configurationWaitGrowsWithFleetSizeWithinBounds(int daemons, long millis) {
		assertThat(ReadPacing.configurationWait(daemons)).isEqualTo(Duration.ofMillis(millis));
	}

	@ParameterizedTest
	@CsvSource({ "2000, 1000", "3000, 1500" })
	void listIsReadTwiceWithinRemovalTimeLimit(long removalLimitMillis, long intervalMillis) {
		assertThat(ReadPacing.listInterval(Duration.ofMillis(removalLimitMillis)))
			.isEqualTo(Duration.ofMillis(intervalMillis));
	}

	// In fleets of 32 daemons and more each one withdrew its address for half of the
	// time,
	// as reads that wait for two seconds are up to four seconds old.
	@ParameterizedTest
	@CsvSource({ "1, 2500", "16, 2500", "32, 4750", "3300, 4750" })
	void daemonServesUntilTwoReadsAreMissing(int daemons, long millis) {
		assertThat(ReadPacing.maximumServingAge(daemons)).isEqualTo(Duration.ofMillis(millis));
	}

}
