package org.sardineport.core.relay;

import java.time.Duration;
import java.time.Instant;
import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class ConfigurationInForceTests {

	private static final Duration LIFETIME = Duration.ofMillis(4700);

	/** Two jumps that cancel out to less than this are not seen. */
	private static final long UNSEEN_MILLIS = 200;

	private Duration steady = Duration.ZERO;

	private Instant timeOfDay = Instant.EPOCH;

	private final ConfigurationInForce inForce = ConfigurationInForce.create(LIFETIME, this::read);

	private ClockReading read() {
		return new ClockReading(this.steady, this.timeOfDay);
	}

	private void pass(long millis) {
		this.steady = this.steady.plusMillis(millis);
		jump(millis);
	}

	private void suspend(long millis) {
		jump(millis);
	}

	private void jump(long millis) {
		this.timeOfDay = this.timeOfDay.plusMillis(millis);
	}

	private void readVersion(long version) {
		this.inForce.accept(RelayFixture.configuration(version), read());
	}

	@Test
	void isNotProvedBeforeTheFirstRead() {
		assertThat(this.inForce.isProved()).isFalse();
		assertThat(this.inForce.isProofExpected()).isTrue();
		assertThat(this.inForce.current().isNone()).isTrue();
	}

	@Test
	void ageCountsFromTheStartOfTheRead() {
		ClockReading started = read();
		pass(4000);
		this.inForce.accept(RelayFixture.configuration(1), started);
		pass(600);
		assertThat(this.inForce.isProved()).isTrue();
		pass(100);
		assertThat(this.inForce.isProved()).isFalse();
	}

	@Test
	void neverGoesBackToAnOlderVersion() {
		readVersion(7);
		assertThat(this.inForce.accept(RelayFixture.configuration(6), read())).isFalse();
		assertThat(this.inForce.current().version()).isEqualTo(7);
	}

	@Test
	void suspensionEndsTheProofThoughTheSteadyClockStoodStill() {
		readVersion(1);
		suspend(6000);
		assertThat(this.inForce.isProved()).isFalse();
	}

	@ParameterizedTest
	@ValueSource(longs = { -2400, -500, 500, 2400 })
	void jumpOfTheTimeOfDayEndsTheProofUntilTheNextRead(long millis) {
		readVersion(1);
		jump(millis);
		assertThat(this.inForce.isProved()).isFalse();
		assertThat(this.inForce.isProofExpected()).isTrue();
		pass(1);
		this.inForce.confirm(read());
		assertThat(this.inForce.isProved()).isTrue();
	}

	@Test
	void suspensionAndJumpThatCancelOutEndTheProof() {
		readVersion(1);
		suspend(2000);
		this.inForce.isProved();
		jump(-2000);
		assertThat(this.inForce.isProved()).isFalse();
	}

	@Test
	void readThatBeganBeforeASuspensionProvesNothing() {
		ClockReading early = read();
		readVersion(1);
		suspend(2000);
		this.inForce.isProved();
		jump(-2000);
		this.inForce.confirm(early);
		assertThat(this.inForce.isProved()).isFalse();
	}

	@Test
	void confirmationOfAnEarlierReadThatComesLateDoesNotShortenTheProof() {
		ClockReading early = read();
		pass(3000);
		readVersion(1);
		this.inForce.confirm(early);
		pass(3000);
		assertThat(this.inForce.isProved()).isTrue();
	}

	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5, 6, 7, 8 })
	void neverProvesWhatIsOlderThanItsLifetime(long seed) {
		SplittableRandom random = new SplittableRandom(seed);
		readVersion(1);
		long age = 0;
		for (int i = 0; i < 20_000; i++) {
			long millis = random.nextInt(1, 900);
			switch (random.nextInt(6)) {
				case 0 -> {
					suspend(millis * 5);
					age += millis * 5;
				}
				case 1 -> jump(random.nextInt(-2400, 2400));
				case 2 -> {
					pass(1);
					this.inForce.confirm(read());
					age = 0;
				}
				default -> {
					pass(millis);
					age += millis;
				}
			}
			if (this.inForce.isProved()) {
				assertThat(age).isLessThan(LIFETIME.toMillis() + UNSEEN_MILLIS);
			}
		}
	}

}
