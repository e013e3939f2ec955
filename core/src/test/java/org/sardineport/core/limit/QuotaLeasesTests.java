package org.sardineport.core.limit;

import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sardineport.core.identity.DaemonId;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against leases that exceed the limit or divide it unfairly.
 */
class QuotaLeasesTests {

	private static final DaemonId FIRST = DaemonId.of("first");

	private static final DaemonId SECOND = DaemonId.of("second");

	@Test
	void grantsFullDemandBelowTheLimit() {
		assertThat(QuotaLeases.create().lease(FIRST, 100, 1000, 0)).isEqualTo(100);
	}

	@Test
	void sharesEvenlyBetweenDaemonsThatDemandMoreThanTheLimit() {
		QuotaLeases leases = QuotaLeases.create();
		long now = 0;
		long first = 0;
		long second = 0;
		for (int i = 0; i < 20; i++) {
			first = leases.lease(FIRST, 10_000, 1000, now);
			second = leases.lease(SECOND, 10_000, 1000, now);
			now += QuotaAccount.PERIOD_MILLIS;
		}
		assertThat(first).isEqualTo(250);
		assertThat(second).isEqualTo(250);
	}

	@Test
	void grantsUnusedShareToTheDaemonWithHigherDemand() {
		QuotaLeases leases = QuotaLeases.create();
		long now = 0;
		long second = 0;
		for (int i = 0; i < 20; i++) {
			leases.lease(FIRST, 50, 1000, now);
			second = leases.lease(SECOND, 10_000, 1000, now);
			now += QuotaAccount.PERIOD_MILLIS;
		}
		assertThat(second).isEqualTo(450);
	}

	@Test
	void frequentRequestsDoNotExceedTheLimit() {
		QuotaLeases leases = QuotaLeases.create();
		long sum = 0;
		for (long now = 0; now < 10_000; now += 10) {
			sum += leases.lease(FIRST, 10_000, 1000, now);
		}
		assertThat(sum).isLessThanOrEqualTo(10_500);
	}

	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5 })
	void leasedTokensNeverExceedTheLimitByMoreThanTheOutstandingSlices(long seed) {
		SplittableRandom random = new SplittableRandom(seed);
		QuotaLeases leases = QuotaLeases.create();
		long leased = 0;
		long now = 0;
		while (now < 60_000) {
			now += random.nextInt(100);
			DaemonId daemon = DaemonId.of("daemon-" + random.nextInt(8));
			leased += leases.lease(daemon, random.nextInt(2000), 1000, now);
		}
		assertThat(leased).isLessThanOrEqualTo(now + QuotaLeases.SLICE_MILLIS);
	}

}
