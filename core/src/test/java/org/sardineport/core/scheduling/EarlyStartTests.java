package org.sardineport.core.scheduling;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.sardineport.core.admission.RunEnd;
import org.sardineport.core.admission.SchedulingRequest;
import org.sardineport.core.admission.StartDeadlines;
import org.sardineport.core.limit.OrganisationLimit;
import org.sardineport.core.request.RunningPolicy;
import org.sardineport.core.request.Tier;
import org.sardineport.core.request.TokenEstimate;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards the rules on start times and permit counts when more streams arrive than the
 * backend server can run at once.
 */
class EarlyStartTests {

	private final SchedulingFixture fixture = new SchedulingFixture().daemons("a");

	private SchedulingRequest request(int rank, Duration targetStart, Duration start) {
		SchedulingRequest plain = this.fixture.request(Tier.STANDARD, RunningPolicy.CANCELLABLE, Duration.ofSeconds(60),
				"organisation", 0, TokenEstimate.of(100, 100));
		return new SchedulingRequest(plain.id(), plain.pool(), plain.organisation(), plain.tier(), rank,
				plain.estimate(), 0, plain.fingerprint(), plain.runningPolicy(), OrganisationLimit.NONE, 0, Set.of(),
				plain.arrival(), new StartDeadlines(this.fixture.now.plus(targetStart), this.fixture.now.plus(start)),
				plain.deadline());
	}

	private SchedulingFixture.Caller submit(int rank, long targetStartMillis, long startMillis) {
		return this.fixture.submit("a",
				request(rank, Duration.ofMillis(targetStartMillis), Duration.ofMillis(startMillis)));
	}

	private List<SchedulingFixture.Caller> fill(int count) {
		List<SchedulingFixture.Caller> callers = new ArrayList<>();
		for (int i = 0; i < count; i++) {
			callers.add(submit(0, 60_000, 60_000));
		}
		return callers;
	}

	@Test
	void requestIsRefusedWhenItsStartLimitPasses() {
		this.fixture.server("s", 2, "a").publishFleet();
		this.fixture.now = this.fixture.now.plusSeconds(2);
		fill(2);
		SchedulingFixture.Caller waiting = submit(0, 300, 1500);
		assertThat(waiting.isRefused()).isFalse();
		this.fixture.now = this.fixture.now.plusMillis(1600);
		this.fixture.scheduler("a").tick();
		assertThat(waiting.isRefused()).isTrue();
	}

	@Test
	void ownerGrantsFullLowerTierLimitWhenAllDaemonsJustStarted() {
		this.fixture.incarnation = this.fixture.now.toEpochMilli() - 100;
		this.fixture.server("s", 4, "a").publishFleet();
		int lowerTierLimit = 3;
		assertThat(fill(4).stream().filter(SchedulingFixture.Caller::isGranted)).hasSize(lowerTierLimit);
	}

	@Test
	void ownerGrantsHalfTheLimitWhileUnreportedRunsArePossible() {
		this.fixture.server("s", 4, "a").publishFleet();
		assertThat(fill(4).stream().filter(SchedulingFixture.Caller::isGranted)).hasSize(2);
	}

	@Test
	void lowerRankNumberIsGrantedFirstWithinAnOrganisation() {
		this.fixture.server("s", 1, "a").publishFleet();
		this.fixture.now = this.fixture.now.plusSeconds(2);
		SchedulingFixture.Caller running = fill(1).get(0);
		SchedulingFixture.Caller low = submit(2, 5000, 9000);
		SchedulingFixture.Caller high = submit(0, 5000, 9000);
		running.end(RunEnd.CANCELLED);
		assertThat(high.isGranted()).isTrue();
		assertThat(low.isGranted()).isFalse();
	}

	@Test
	void avoidedServerIsNotChosen() {
		this.fixture.server("s", 4, "a").server("t", 4, "a").publishFleet();
		SchedulingRequest plain = request(0, Duration.ofSeconds(9), Duration.ofSeconds(9));
		SchedulingRequest again = new SchedulingRequest(plain.id(), plain.pool(), plain.organisation(), plain.tier(), 0,
				plain.estimate(), 0, plain.fingerprint(), plain.runningPolicy(), OrganisationLimit.NONE, 0,
				Set.of(this.fixture.servers.get(0).id()), plain.arrival(), plain.startDeadlines(), plain.deadline());
		SchedulingFixture.Caller caller = this.fixture.submit("a", again);
		assertThat(caller.permit().backendServer().id().value()).isEqualTo("t");
	}

}
