package org.sardineport.core.limit;

import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sardineport.core.identity.DaemonId;

import static org.assertj.core.api.Assertions.assertThat;

class QuotaLedgerTests {

	private static final DaemonId FIRST = DaemonId.of("first");

	private static final DaemonId SECOND = DaemonId.of("second");

	@Test
	void givesWhatIsWantedBelowTheLimit() {
		assertThat(QuotaLedger.create().lease(FIRST, 100, 1000, 0)).isEqualTo(100);
	}

	@Test
	void sharesEvenlyBetweenDaemonsThatWantAll() {
		QuotaLedger ledger = QuotaLedger.create();
		long now = 0;
		long first = 0;
		long second = 0;
		for (int i = 0; i < 20; i++) {
			first = ledger.lease(FIRST, 10_000, 1000, now);
			second = ledger.lease(SECOND, 10_000, 1000, now);
			now += QuotaAccount.PERIOD_MILLIS;
		}
		assertThat(first).isEqualTo(250);
		assertThat(second).isEqualTo(250);
	}

	@Test
	void leavesToTheGreedyWhatTheModestDoNotWant() {
		QuotaLedger ledger = QuotaLedger.create();
		long now = 0;
		long greedy = 0;
		for (int i = 0; i < 20; i++) {
			ledger.lease(FIRST, 50, 1000, now);
			greedy = ledger.lease(SECOND, 10_000, 1000, now);
			now += QuotaAccount.PERIOD_MILLIS;
		}
		assertThat(greedy).isEqualTo(450);
	}

	@Test
	void daemonThatAsksMoreOftenGetsNoMore() {
		QuotaLedger ledger = QuotaLedger.create();
		long sum = 0;
		for (long now = 0; now < 10_000; now += 10) {
			sum += ledger.lease(FIRST, 10_000, 1000, now);
		}
		assertThat(sum).isLessThanOrEqualTo(10_500);
	}

	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5 })
	void tokensLeasedNeverExceedTheLimitByMoreThanTheSlicesOut(long seed) {
		SplittableRandom random = new SplittableRandom(seed);
		QuotaLedger ledger = QuotaLedger.create();
		long leased = 0;
		long now = 0;
		while (now < 60_000) {
			now += random.nextInt(100);
			DaemonId daemon = DaemonId.of("daemon-" + random.nextInt(8));
			leased += ledger.lease(daemon, random.nextInt(2000), 1000, now);
		}
		assertThat(leased).isLessThanOrEqualTo(now + QuotaLedger.SLICE_MILLIS);
	}

}
