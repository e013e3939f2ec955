package org.sardineport.core.overload;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;
import org.sardineport.core.request.Tier;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Load patterns: a small machine at rest and at ordinary load, one that pauses once, and
 * one that is short of processor time for seconds.
 */
class OverloadControlTests {

	private static final Duration TICK = Duration.ofMillis(50);

	private static final Duration LONG = Duration.ofSeconds(60);

	private Instant now = Instant.EPOCH;

	private final OverloadControl control = OverloadControl.create(() -> this.now, new SplittableRandom(1));

	private void late(int ticks, long loopMillis) {
		late(ticks, loopMillis, 0);
	}

	private void late(int ticks, long loopMillis, long schedulingMillis) {
		for (int i = 0; i < ticks; i++) {
			this.now = this.now.plus(TICK).plusMillis(loopMillis);
			this.control.record(Duration.ofMillis(loopMillis), Duration.ofMillis(schedulingMillis));
		}
	}

	private int refused(Tier tier, int requests) {
		int refused = 0;
		for (int i = 0; i < requests; i++) {
			refused += this.control.check(tier, LONG).isPresent() ? 1 : 0;
		}
		return refused;
	}

	// Guards against refusals on a machine whose processor share is enforced over 100 ms:
	// it is late by up to 90 ms all the time.
	@Test
	void nothingIsRefusedAtOrdinaryLoad() {
		late(200, 90, 90);
		assertThat(this.control.isOverloaded()).isFalse();
		assertThat(refused(Tier.BATCH, 100)).isZero();
		assertThat(this.control.check(Tier.BATCH, Duration.ofMillis(1))).isEmpty();
	}

	@Test
	void nothingIsRefusedAfterOnePause() {
		late(10, 0);
		late(1, 5000);
		assertThat(refused(Tier.BATCH, 100)).isZero();
		late(1, 0);
		assertThat(refused(Tier.BATCH, 100)).isZero();
		assertThat(this.control.isOverloaded()).isFalse();
	}

	@Test
	void lateSchedulingThreadIsOverloadToo() {
		late(10, 0, 600);
		assertThat(this.control.isOverloaded()).isTrue();
		assertThat(this.control.schedulingDelay()).isGreaterThan(Duration.ofMillis(500));
		assertThat(this.control.loopDelay()).isZero();
	}

	@Test
	void refusedShareGrowsWhileTheDelayLasts() {
		late(10, 500);
		double early = this.control.refusedShare();
		assertThat(early).isBetween(0.1, 0.9);
		late(100, 500);
		assertThat(this.control.refusedShare()).isEqualTo(OverloadControl.MAX_SHARE);
	}

	@Test
	void lowerTiersAreRefusedFirst() {
		late(8, 2000);
		int batch = 0;
		int interactive = 0;
		for (int i = 0; i < 200; i++) {
			batch += refused(Tier.BATCH, 1);
			interactive += refused(Tier.INTERACTIVE, 1);
		}
		double share = this.control.refusedShare();
		assertThat(share).isBetween(0.4, 0.9);
		assertThat(batch).as("refused of the lower tier").isGreaterThan(150);
		assertThat(interactive).as("refused of the upper tier").isLessThan(batch);
		assertThat((batch + interactive) / 400.0).as("share of both").isLessThanOrEqualTo(share + 0.01);
	}

	// Guards against interactive requests that are refused at a delay they can bear.
	@Test
	void upperTiersAreNotRefusedBelowTheirThreshold() {
		late(100, 350);
		assertThat(this.control.isOverloaded()).isTrue();
		assertThat(refused(Tier.INTERACTIVE, 100)).isZero();
		assertThat(refused(Tier.STANDARD, 100)).isZero();
		assertThat(refused(Tier.BATCH, 100)).isPositive();
	}

	// Guards against a daemon that refuses everything and is idle.
	@Test
	void someRequestsAreAlwaysServed() {
		late(500, 3000);
		assertThat(refused(Tier.BATCH, 1000)).isLessThanOrEqualTo(901);
	}

	@Test
	void requestThatCannotBeServedAtThisDelayIsRefusedWhateverItsTier() {
		late(20, 500);
		assertThat(this.control.check(Tier.URGENT, Duration.ofMillis(1200))).isPresent();
		assertThat(this.control.check(Tier.URGENT, Duration.ofMillis(1800))).isEmpty();
	}

	// Guards against refusals that go on after the load has gone.
	@Test
	void nothingIsRefusedSoonAfterTheDelayHasGone() {
		late(100, 500);
		late(40, 0);
		assertThat(this.control.refusedShare()).isZero();
		assertThat(this.control.isOverloaded()).isFalse();
		assertThat(refused(Tier.BATCH, 100)).isZero();
	}

	// A caller that comes back when it was told finds the daemon serving, if the load has
	// gone since.
	@Test
	void callersAreToldWhenTheirTierIsAdmittedAgain() {
		late(100, 500);
		Duration told = this.control.check(Tier.STANDARD, Duration.ofMillis(1)).orElseThrow();
		Instant until = this.now.plus(told);
		while (this.now.isBefore(until)) {
			late(1, 0);
		}
		assertThat(refused(Tier.STANDARD, 100)).isZero();
	}

	// Guards against callers that all come back at once.
	@Test
	void retriesAreSpread() {
		late(100, 500);
		List<Duration> told = new ArrayList<>();
		for (int i = 0; i < 100; i++) {
			Optional<Duration> refusal = this.control.check(Tier.BATCH, Duration.ofMillis(1));
			told.add(refusal.orElseThrow());
		}
		assertThat(told.stream().distinct().count()).isGreaterThan(50);
		assertThat(told).allMatch((each) -> each.compareTo(Duration.ofSeconds(5)) <= 0);
	}

}
