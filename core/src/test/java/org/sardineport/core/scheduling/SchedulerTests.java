package org.sardineport.core.scheduling;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.sardineport.core.admission.RunEnd;
import org.sardineport.core.request.RefusalReason;
import org.sardineport.core.request.RunningPolicy;
import org.sardineport.core.request.Tier;
import org.sardineport.core.request.TokenEstimate;
import org.sardineport.core.scheduling.SchedulingFixture.Caller;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards the scheduling decisions of daemons without failures: limits, tiers, preemption,
 * quarantine and organisation shares.
 */
class SchedulerTests {

	private static final Duration SECOND = Duration.ofSeconds(1);

	@Test
	void grantsWithoutMessageWhenEntryIsOwner() {
		SchedulingFixture fleet = SchedulingFixture.singleDaemon(4);
		assertThat(fleet.submit("a", Tier.STANDARD).isGranted()).isTrue();
		assertThat(fleet.sent).isEmpty();
	}

	// An idle daemon ran the periodic work 40 times a second; while a request waits or
	// runs it must still do so.
	@Test
	void periodicWorkIsDueOnlyWhileARequestWaitsOrRuns() {
		SchedulingFixture fleet = SchedulingFixture.singleDaemon(1);
		fleet.advance(SECOND);
		assertThat(fleet.scheduler("a").untilTickDue()).isPositive();
		Caller running = fleet.submit("a", Tier.STANDARD);
		assertThat(fleet.scheduler("a").untilTickDue()).isZero();
		Caller waiting = fleet.submit("a", Tier.STANDARD);
		running.complete(SECOND, SECOND);
		assertThat(fleet.scheduler("a").untilTickDue()).isZero();
		waiting.complete(SECOND, SECOND);
		assertThat(fleet.scheduler("a").untilTickDue()).isPositive().isLessThanOrEqualTo(SECOND);
	}

	@Test
	void grantsThroughRemoteOwner() {
		SchedulingFixture fleet = SchedulingFixture.twoDaemons(4);
		Caller caller = fleet.submit("a", Tier.STANDARD);
		assertThat(caller.isWaiting()).isTrue();
		fleet.deliver();
		assertThat(caller.isGranted()).isTrue();
		assertThat(caller.permit().expires()).isEqualTo(fleet.now.plus(SECOND));
	}

	@Test
	void lowerTierWaitsAtTheLimitAndRunsAfterARelease() {
		SchedulingFixture fleet = SchedulingFixture.singleDaemon(4);
		List<Caller> running = SchedulingFixture.fill(fleet, "a", Tier.STANDARD, 3);
		Caller waiting = fleet.submit("a", Tier.STANDARD);
		assertThat(running).allMatch(Caller::isGranted);
		assertThat(waiting.isWaiting()).isTrue();
		running.get(0).complete(SECOND, SECOND);
		assertThat(waiting.isGranted()).isTrue();
	}

	@Test
	void moreUrgentTierGoesFirst() {
		SchedulingFixture fleet = SchedulingFixture.singleDaemon(2);
		List<Caller> running = SchedulingFixture.fill(fleet, "a", Tier.STANDARD, 1);
		Caller batch = fleet.submit("a", Tier.BATCH);
		Caller interactive = fleet.submit("a", Tier.INTERACTIVE);
		running.get(0).end(RunEnd.CANCELLED);
		assertThat(interactive.isGranted()).isTrue();
		assertThat(batch.isWaiting()).isTrue();
	}

	@Test
	void topTierExceedsTheLimitThenPreemptsThenNeverWaitsBehindLowerTiers() {
		SchedulingFixture fleet = SchedulingFixture.singleDaemon(4);
		List<Caller> lower = SchedulingFixture.fill(fleet, "a", Tier.BATCH, 3);
		List<Caller> top = SchedulingFixture.fill(fleet, "a", Tier.URGENT, 8);
		assertThat(top.subList(0, 5)).allMatch(Caller::isGranted);
		assertThat(lower).filteredOn(Caller::isPreempted).hasSize(3);
		assertThat(fleet.scheduler("a").isPriorityInverted()).isFalse();
	}

	@Test
	void topTierIsNotRefusedBesideUninterruptibleWork() {
		SchedulingFixture fleet = SchedulingFixture.singleDaemon(1);
		Caller posting = fleet.submit("a",
				fleet.request(Tier.BATCH, RunningPolicy.UNINTERRUPTIBLE, Duration.ofSeconds(60)));
		List<Caller> top = SchedulingFixture.fill(fleet, "a", Tier.URGENT, 5);
		assertThat(top).noneMatch(Caller::isRefused);
		assertThat(top).filteredOn(Caller::isGranted).hasSize(1);
		fleet.advance(Duration.ofSeconds(60));
		assertThat(posting.isPreempted()).isFalse();
		assertThat(top).allMatch(Caller::isGranted);
	}

	@Test
	void waitingTopTierGoesBeforeEarlierLowerTiers() {
		SchedulingFixture fleet = SchedulingFixture.singleDaemon(1);
		Caller posting = fleet.submit("a",
				fleet.request(Tier.BATCH, RunningPolicy.UNINTERRUPTIBLE, Duration.ofSeconds(60)));
		Caller beside = fleet.submit("a", Tier.URGENT);
		Caller lower = fleet.submit("a", Tier.INTERACTIVE);
		Caller top = fleet.submit("a", Tier.URGENT);
		posting.complete(SECOND, SECOND);
		assertThat(beside.isGranted()).isTrue();
		assertThat(top.isGranted()).isTrue();
		assertThat(lower.isWaiting()).isTrue();
	}

	@Test
	void preemptionChoosesTheLeastWastedPrefill() {
		SchedulingFixture fleet = SchedulingFixture.singleDaemon(3);
		Caller large = fleet.submit("a", fleet.request(Tier.BATCH, RunningPolicy.CANCELLABLE, Duration.ofSeconds(60),
				"organisation", 0, TokenEstimate.of(4000, 100)));
		Caller small = fleet.submit("a", Tier.INTERACTIVE);
		fleet.advance(SECOND);
		SchedulingFixture.fill(fleet, "a", Tier.URGENT, 3);
		assertThat(small.isPreempted()).isTrue();
		assertThat(large.isPreempted()).isFalse();
	}

	@Test
	void lowerTierThatCannotFinishIsRefusedWithRetryAfter() {
		SchedulingFixture fleet = SchedulingFixture.singleDaemon(4);
		Caller learned = fleet.submit("a", Tier.STANDARD);
		fleet.advance(Duration.ofSeconds(10));
		learned.complete(Duration.ofSeconds(2), Duration.ofSeconds(10));
		Caller late = fleet.submit("a", fleet.request(Tier.STANDARD, RunningPolicy.CANCELLABLE, SECOND));
		assertThat(late.refusal().reason()).isEqualTo(RefusalReason.DEADLINE_UNREACHABLE);
		assertThat(late.refusal().retryAfter()).isPositive();
	}

	@Test
	void slowServerIsTriedAgainAfterAnIdlePeriod() {
		SchedulingFixture fleet = SchedulingFixture.singleDaemon(4);
		Caller learned = fleet.submit("a", Tier.STANDARD);
		learned.complete(Duration.ofSeconds(2), Duration.ofSeconds(10));
		fleet.advance(Duration.ofSeconds(60));
		assertThat(fleet.submit("a", fleet.request(Tier.STANDARD, RunningPolicy.CANCELLABLE, SECOND)).isGranted())
			.isTrue();
	}

	@Test
	void abandonedRequestTakesNoPermit() {
		SchedulingFixture fleet = SchedulingFixture.twoDaemons(2);
		List<Caller> running = SchedulingFixture.fill(fleet, "a", Tier.STANDARD, 1);
		Caller abandoned = fleet.submit("a", Tier.STANDARD);
		Caller next = fleet.submit("a", Tier.STANDARD);
		fleet.deliver();
		abandoned.abandon();
		fleet.deliver();
		running.get(0).end(RunEnd.CANCELLED);
		fleet.deliver();
		assertThat(abandoned.decisions()).isZero();
		assertThat(next.isGranted()).isTrue();
	}

	@Test
	void grantThatArrivesAfterAbandonIsReturned() {
		SchedulingFixture fleet = SchedulingFixture.twoDaemons(2);
		Caller abandoned = fleet.submit("a", Tier.STANDARD);
		abandoned.abandon();
		fleet.deliver();
		assertThat(abandoned.decisions()).isZero();
		assertThat(fleet.scheduler("b").states().get(0).running()).isZero();
	}

	@Test
	void requestThatBrokeTwoServersIsQuarantinedButAConcurrentRequestIsNot() {
		SchedulingFixture fleet = new SchedulingFixture().daemons("a")
			.server("s1", 8, "a")
			.server("s2", 8, "a")
			.publishFleet();
		var poison = fleet.request(Tier.STANDARD);
		Caller concurrent = fleet.submit("a", Tier.STANDARD);
		for (int i = 0; i < 2; i++) {
			Caller run = fleet.submit("a", poison);
			run.crash();
			fleet.servers.remove(run.permit().backendServer());
			fleet.publishFleet();
		}
		concurrent.crash();
		fleet.server("s3", 8, "a").publishFleet();
		assertThat(fleet.submit("a", poison).refusal().reason()).isEqualTo(RefusalReason.QUARANTINED);
		assertThat(fleet.submit("a", concurrent.request()).isGranted()).isTrue();
		fleet.advance(Duration.ofMinutes(11));
		assertThat(fleet.submit("a", fleet.resubmitted(poison)).isGranted()).isTrue();
	}

	@Test
	void greedyOrganisationDoesNotDelayAnother() {
		SchedulingFixture fleet = SchedulingFixture.singleDaemon(2);
		List<Caller> running = new ArrayList<>(SchedulingFixture.fill(fleet, "a", Tier.STANDARD, 1));
		List<Caller> greedy = SchedulingFixture.fill(fleet, "a", Tier.STANDARD, 20);
		Caller modest = fleet.submit("a", fleet.request(Tier.STANDARD, RunningPolicy.CANCELLABLE,
				Duration.ofSeconds(60), "modest", 0, TokenEstimate.of(100, 100)));
		int served = 0;
		while (modest.isWaiting()) {
			running.get(running.size() - 1).complete(Duration.ofMillis(1), Duration.ofMillis(10));
			greedy.stream().filter((caller) -> caller.isGranted() && !running.contains(caller)).forEach(running::add);
			served++;
		}
		assertThat(served).isLessThan(18);
	}

	@Test
	void organisationOverItsLimitIsRefusedWithRetryAfter() {
		SchedulingFixture fleet = SchedulingFixture.singleDaemon(8);
		Caller last = null;
		for (int i = 0; i < 4; i++) {
			last = fleet.submit("a", fleet.request(Tier.STANDARD, RunningPolicy.CANCELLABLE, Duration.ofSeconds(60),
					"limited", 300, TokenEstimate.of(100, 100)));
		}
		assertThat(last.refusal().reason()).isEqualTo(RefusalReason.ORGANISATION_LIMIT);
		assertThat(last.refusal().retryAfter()).isPositive();
	}

}
