package org.sardineport.core.relay;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sardineport.core.identity.PoolName;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a fleet whose daemons together exceed the retry budget.
 */
class FleetRetryBudgetTests {

	private static final Duration WINDOW = Duration.ofSeconds(10);

	private static final double RATIO = 0.2;

	private static final int SLACK = 56;

	private static final long REFUND_DELAY_MILLIS = 1000;

	private static FleetRetryBudget allowance() {
		return FleetRetryBudget.of(RATIO, SLACK, WINDOW);
	}

	@Test
	void poolsAreCountedSeparately() {
		FleetRetryBudget allowance = allowance();
		int spent = 0;
		while (allowance.trySpend(RelayFixture.POOL, 1, 0)) {
			spent++;
		}
		assertThat(spent).isLessThan(SLACK);
		assertThat(allowance.trySpend(PoolName.of("other"), 1, 0)).isTrue();
	}

	@ParameterizedTest
	@ValueSource(ints = { 1, 2, 8, 88 })
	void fleetStaysWithinBudgetInEveryWindow(int daemons) {
		SplittableRandom random = new SplittableRandom(daemons);
		FleetRetryBudget[] fleet = new FleetRetryBudget[daemons];
		for (int i = 0; i < daemons; i++) {
			fleet[i] = allowance();
		}
		Deque<Long> retries = new ArrayDeque<>();
		Deque<Long> requests = new ArrayDeque<>();
		for (long now = 0; now < 60_000; now += 7) {
			FleetRetryBudget daemon = fleet[random.nextInt(daemons)];
			if (random.nextInt(3) == 0 && now / 15_000 % 2 == 0) {
				daemon.requested(RelayFixture.POOL, now);
				requests.add(now);
			}
			if (daemon.trySpend(RelayFixture.POOL, daemons, now)) {
				retries.add(now);
			}
			dropExpired(retries, now);
			dropExpired(requests, now);
			assertThat(retries.size()).isLessThanOrEqualTo((int) (RATIO * requests.size() + SLACK));
		}
	}

	// A refund must not free the place of a retry that was made after the refunded one.
	@ParameterizedTest
	@ValueSource(ints = { 1, 8 })
	void fleetStaysWithinBudgetThoughRetriesAreRefundedLater(int daemons) {
		SplittableRandom random = new SplittableRandom(daemons);
		FleetRetryBudget[] fleet = new FleetRetryBudget[daemons];
		for (int i = 0; i < daemons; i++) {
			fleet[i] = allowance();
		}
		Deque<Long> made = new ArrayDeque<>();
		Deque<Refund> refunds = new ArrayDeque<>();
		for (long now = 0; now < 60_000; now += 7) {
			FleetRetryBudget daemon = fleet[random.nextInt(daemons)];
			if (daemon.trySpend(RelayFixture.POOL, daemons, now)) {
				if (random.nextBoolean()) {
					made.add(now);
				}
				else {
					refunds.add(new Refund(daemon, now));
				}
			}
			while (!refunds.isEmpty() && refunds.peekFirst().spentAt <= now - REFUND_DELAY_MILLIS) {
				Refund refund = refunds.removeFirst();
				refund.budget.refund(RelayFixture.POOL, refund.spentAt, now);
			}
			dropExpired(made, now);
			assertThat(made.size()).isLessThanOrEqualTo(SLACK);
		}
	}

	@Test
	void refundedRetryCanBeMadeAgain() {
		FleetRetryBudget budget = allowance();
		int allowed = 0;
		while (budget.trySpend(RelayFixture.POOL, 1, 0)) {
			allowed++;
		}
		budget.refund(RelayFixture.POOL, 0, 100);
		assertThat(allowed).isPositive();
		assertThat(budget.trySpend(RelayFixture.POOL, 1, 100)).isTrue();
		assertThat(budget.trySpend(RelayFixture.POOL, 1, 100)).isFalse();
	}

	@Test
	void refundAfterTheWindowHasNoEffect() {
		FleetRetryBudget budget = allowance();
		budget.trySpend(RelayFixture.POOL, 1, 0);
		long later = WINDOW.toMillis();
		boolean spent = true;
		while (spent) {
			spent = budget.trySpend(RelayFixture.POOL, 1, later);
		}
		budget.refund(RelayFixture.POOL, 0, later);
		assertThat(budget.trySpend(RelayFixture.POOL, 1, later)).isFalse();
	}

	private static void dropExpired(Deque<Long> times, long now) {
		while (!times.isEmpty() && times.peekFirst() <= now - WINDOW.toMillis()) {
			times.removeFirst();
		}
	}

	/**
	 * A retry that is not made.
	 *
	 * @param budget the budget from which it was taken
	 * @param spentAt when it was taken
	 */
	private record Refund(FleetRetryBudget budget, long spentAt) {

	}

}
