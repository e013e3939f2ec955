package org.sardineport.core.relay;

import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against admitting callers by a configuration that is older than its lifetime, in
 * particular after the VM was suspended or its clock was changed.
 */
class ConfigurationInForceTests {

	private static final Duration LIFETIME = Duration.ofMillis(4700);

	/** Clock steps that add up to less than this are not detected. */
	private static final long UNDETECTED_JUMP_MILLIS = 200;

	private Duration steady = Duration.ZERO;

	private Instant timeOfDay = Instant.EPOCH;

	private final ConfigurationInForce inForce = ConfigurationInForce.create(LIFETIME, this::read);

	private ClockReading read() {
		return new ClockReading(this.steady, this.timeOfDay);
	}

	private void advance(long millis) {
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
	void isNotFreshBeforeFirstRead() {
		assertThat(this.inForce.isFresh()).isFalse();
		assertThat(this.inForce.isRefreshExpected()).isTrue();
		assertThat(this.inForce.current().isNone()).isTrue();
	}

	@Test
	void ageIsMeasuredFromStartOfRead() {
		ClockReading started = read();
		advance(4000);
		this.inForce.accept(RelayFixture.configuration(1), started);
		advance(600);
		assertThat(this.inForce.isFresh()).isTrue();
		advance(100);
		assertThat(this.inForce.isFresh()).isFalse();
	}

	@Test
	void rejectsOlderVersion() {
		readVersion(7);
		assertThat(this.inForce.accept(RelayFixture.configuration(6), read())).isFalse();
		assertThat(this.inForce.current().version()).isEqualTo(7);
	}

	@Test
	void suspensionInvalidatesFreshnessAlthoughSteadyClockStops() {
		readVersion(1);
		suspend(6000);
		assertThat(this.inForce.isFresh()).isFalse();
	}

	@ParameterizedTest
	@ValueSource(longs = { -2400, -500, 500, 2400 })
	void timeOfDayJumpInvalidatesFreshnessUntilNextRead(long millis) {
		readVersion(1);
		jump(millis);
		assertThat(this.inForce.isFresh()).isFalse();
		assertThat(this.inForce.isRefreshExpected()).isTrue();
		advance(1);
		this.inForce.confirm(read());
		assertThat(this.inForce.isFresh()).isTrue();
	}

	@Test
	void suspensionAndOppositeJumpInvalidateFreshness() {
		readVersion(1);
		suspend(2000);
		this.inForce.isFresh();
		jump(-2000);
		assertThat(this.inForce.isFresh()).isFalse();
	}

	@Test
	void readStartedBeforeSuspensionDoesNotRestoreFreshness() {
		ClockReading early = read();
		readVersion(1);
		suspend(2000);
		this.inForce.isFresh();
		jump(-2000);
		this.inForce.confirm(early);
		assertThat(this.inForce.isFresh()).isFalse();
	}

	@Test
	void lateConfirmationOfEarlierReadDoesNotShortenFreshness() {
		ClockReading early = read();
		advance(3000);
		readVersion(1);
		this.inForce.confirm(early);
		advance(3000);
		assertThat(this.inForce.isFresh()).isTrue();
	}

	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5, 6, 7, 8 })
	void isNeverFreshBeyondLifetime(long seed) {
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
					advance(1);
					this.inForce.confirm(read());
					age = 0;
				}
				default -> {
					advance(millis);
					age += millis;
				}
			}
			if (this.inForce.isFresh()) {
				assertThat(age).isLessThan(LIFETIME.toMillis() + UNDETECTED_JUMP_MILLIS);
			}
		}
	}

	/**
	 * Guards against an older version that becomes fresh again although a newer one,
	 * which cannot be read, may have revoked its keys.
	 */
	@Test
	void versionBeforeOneThatCannotBeReadExpires() {
		readVersion(1);
		advance(100);
		this.inForce.supersede(2L, null, read());
		advance(100);
		this.inForce.confirm(read());
		assertThat(this.inForce.isFresh()).isTrue();
		assertThat(this.inForce.isNewest()).isFalse();
		advance(LIFETIME.toMillis() - 200);
		this.inForce.confirm(read());
		assertThat(this.inForce.isFresh()).isFalse();
		readVersion(3);
		assertThat(this.inForce.isNewest()).isTrue();
	}

	@Test
	void versionBeforeOneOfWhichOnlyTheKeysCanBeReadServesTheKeysOfBoth() {
		readVersion(1);
		this.inForce.supersede(2L, Map.of(RelayFixture.KEY, "organisation"), read());
		advance(LIFETIME.toMillis() - 1);
		this.inForce.confirm(read());
		advance(LIFETIME.toMillis() - 1);
		assertThat(this.inForce.isFresh()).isTrue();
		assertThat(this.inForce.isNewest()).isFalse();
		assertThat(this.inForce.current().callerKeys().organisation(RelayFixture.KEY)).isPresent();
		this.inForce.supersede(2L, Map.of(RelayFixture.KEY, "another"), read());
		assertThat(this.inForce.current().callerKeys().organisation(RelayFixture.KEY)).isEmpty();
		assertThat(this.inForce.current().callerKeys().areRequired()).isTrue();
	}

	/**
	 * Guards against reads of a store that came back from an older copy which keep a
	 * revoked key in force: a newer version may have been confirmed and lost.
	 */
	@Test
	void readsOfAnOlderCopyProveNothing() {
		readVersion(12);
		advance(100);
		readVersion(7);
		assertThat(this.inForce.isStoreBehind()).isTrue();
		assertThat(this.inForce.isFresh()).isTrue();
		this.inForce.confirm(read());
		advance(LIFETIME.toMillis() - 100);
		this.inForce.confirm(read());
		assertThat(this.inForce.isFresh()).isFalse();
		assertThat(this.inForce.current().version()).isEqualTo(12);
		readVersion(12);
		assertThat(this.inForce.isStoreBehind()).isFalse();
		assertThat(this.inForce.isFresh()).isTrue();
	}

	@Test
	void readsOfAStoreThatLostTheConfigurationProveNothing() {
		readVersion(12);
		this.inForce.missing();
		advance(LIFETIME.toMillis());
		this.inForce.confirm(read());
		assertThat(this.inForce.isFresh()).isFalse();
		readVersion(15);
		assertThat(this.inForce.isFresh()).isTrue();
	}

	/**
	 * Guards against a copy that brings back keys which only a version that could not be
	 * read had taken away.
	 */
	@ParameterizedTest
	@ValueSource(booleans = { true, false })
	void copyDoesNotBringBackKeysThatAnUnreadableVersionTook(boolean isVersionKnown) {
		readVersion(7);
		Long version = isVersionKnown ? 12L : null;
		this.inForce.supersede(version, Map.of("another-key", "organisation"), read());
		assertThat(this.inForce.current().callerKeys().organisation(RelayFixture.KEY)).isEmpty();
		readVersion(7);
		assertThat(this.inForce.current().callerKeys().organisation(RelayFixture.KEY)).isEmpty();
		assertThat(this.inForce.isNewest()).isFalse();
		readVersion(13);
		assertThat(this.inForce.current().callerKeys().organisation(RelayFixture.KEY)).isPresent();
	}

	@Test
	void unreadableVersionOfAnOlderCopyTakesNoKeys() {
		readVersion(12);
		this.inForce.supersede(9L, Map.of("another-key", "organisation"), read());
		assertThat(this.inForce.current().callerKeys().organisation(RelayFixture.KEY)).isPresent();
		assertThat(this.inForce.isSuperseded()).isFalse();
		assertThat(this.inForce.isStoreBehind()).isTrue();
		readVersion(12);
		assertThat(this.inForce.isStoreBehind()).isFalse();
	}

}
