package org.sardineport.core.scheduling;

import java.time.Duration;

import org.junit.jupiter.api.Test;
import org.sardineport.core.backend.BackendKind;
import org.sardineport.core.backend.BackendServer;
import org.sardineport.core.identity.BackendServerId;
import org.sardineport.core.identity.DaemonId;
import org.sardineport.core.identity.OrganisationId;
import org.sardineport.core.identity.RequestId;
import org.sardineport.core.request.Fingerprint;
import org.sardineport.core.request.RunningPolicy;
import org.sardineport.core.request.Tier;
import org.sardineport.core.request.TokenEstimate;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards the limits and time bounds of a backend server of nominal concurrency 10 without
 * measurements, where each request in the queue adds an expected wait of 20 ms.
 */
class AdmissionCheckTests {

	private static final long FOREVER = 1_000_000;

	private static final BackendServer SERVER = new BackendServer(BackendServerId.of("s"), BackendKind.MODEL_ENGINE,
			SchedulingFixture.POOL, SchedulingFixture.DOMAIN, SchedulingFixture.ADDRESS, 10);

	private final ServerOccupancy occupancy = new ServerOccupancy(0);

	private final OwnerQueue queue = new OwnerQueue();

	private int requests;

	private AdmissionCheck check(boolean knownIdle) {
		return new AdmissionCheck(this.occupancy, this.queue, new ServerModel(SERVER, EngineAssumptions.NONE),
				knownIdle, 0);
	}

	private PermitRequest permitRequest(Tier tier) {
		return new PermitRequest(RequestId.of("r" + this.requests++), SERVER.id(), SERVER.pool(),
				OrganisationId.of("o"), tier, 0, TokenEstimate.of(0, 0), 0, RunningPolicy.CANCELLABLE,
				Fingerprint.of(1, 1), Duration.ZERO, Duration.ZERO, Duration.ZERO, false);
	}

	private WaitingRequest waiting(Tier tier, long deadline, long targetStartBy, long startBy) {
		return new WaitingRequest(permitRequest(tier), DaemonId.of("a"), deadline, targetStartBy, startBy);
	}

	private void run(Tier tier, int count) {
		for (int i = 0; i < count; i++) {
			this.occupancy.add(
					new OutstandingPermit(permitRequest(tier), DaemonId.of("a"), 0, new RunForecast(0, 0, 0, 0, 0), 1),
					0);
		}
	}

	@Test
	void halvesTheLimitOfLowerTiersDuringTheWarmUp() {
		AdmissionCheck check = check(false);
		run(Tier.STANDARD, 4);
		assertThat(check.hasRoom(Tier.STANDARD, 0)).isTrue();
		run(Tier.STANDARD, 1);
		assertThat(check.hasRoom(Tier.STANDARD, 999)).isFalse();
		assertThat(check.hasRoom(Tier.URGENT, 999)).isTrue();
		assertThat(check.hasRoom(Tier.STANDARD, 1000)).isTrue();
	}

	@Test
	void loadReportEndsTheWarmUp() {
		AdmissionCheck check = check(false);
		run(Tier.STANDARD, 5);
		check.onLoadReport();
		assertThat(check.hasRoom(Tier.STANDARD, 0)).isTrue();
	}

	@Test
	void topTierHasRoomBeyondTheLimitOfLowerTiers() {
		AdmissionCheck check = check(true);
		run(Tier.STANDARD, 8);
		assertThat(check.hasRoom(Tier.STANDARD, 0)).isTrue();
		run(Tier.STANDARD, 1);
		assertThat(check.hasRoom(Tier.STANDARD, 0)).isFalse();
		run(Tier.URGENT, 2);
		assertThat(check.hasRoom(Tier.URGENT, 0)).isTrue();
		run(Tier.URGENT, 1);
		assertThat(check.hasRoom(Tier.URGENT, 0)).isFalse();
	}

	@Test
	void requestCannotFinishIfItStartsAfterItsDeadlineOrItsCallersWait() {
		AdmissionCheck check = check(true);
		WaitingRequest impatient = waiting(Tier.STANDARD, FOREVER, 500, 500);
		assertThat(check.canFinish(impatient, 400, 100)).isTrue();
		assertThat(check.canFinish(impatient, 401, 100)).isFalse();
		WaitingRequest urgent = waiting(Tier.STANDARD, 500, FOREVER, FOREVER);
		assertThat(check.canFinish(urgent, 399, 100)).isTrue();
		assertThat(check.canFinish(urgent, 400, 100)).isFalse();
	}

	@Test
	void expectedWaitCountsRequestsOfTheSameAndMoreUrgentTiers() {
		AdmissionCheck check = check(true);
		assertThat(check.expectedWait(Tier.STANDARD, 0)).isEqualTo(20);
		this.queue.add(waiting(Tier.STANDARD, FOREVER, FOREVER, FOREVER));
		assertThat(check.expectedWait(Tier.STANDARD, 0)).isEqualTo(40);
		assertThat(check.expectedWait(Tier.URGENT, 0)).isEqualTo(20);
	}

	@Test
	void lateRequestWaitsBehindAllLateRequests() {
		AdmissionCheck check = check(true);
		this.queue.add(waiting(Tier.STANDARD, FOREVER, 10, FOREVER));
		this.queue.add(waiting(Tier.BATCH, FOREVER, 10, FOREVER));
		this.queue.add(waiting(Tier.STANDARD, FOREVER, FOREVER, FOREVER));
		this.queue.demoteLate(20);
		WaitingRequest request = waiting(Tier.STANDARD, FOREVER, 100, FOREVER);
		assertThat(check.extraWaitIfLate(request, 80, 20)).isZero();
		assertThat(check.extraWaitIfLate(request, 81, 20)).isEqualTo(40);
	}

	@Test
	void slackIsUsedUpOnlyBehindLowerTiers() {
		AdmissionCheck check = check(true);
		WaitingRequest top = waiting(Tier.URGENT, FOREVER, 500, 500);
		run(Tier.URGENT, 1);
		assertThat(check.isSlackUsedUp(top, 401)).isFalse();
		run(Tier.STANDARD, 1);
		assertThat(check.isSlackUsedUp(top, 400)).isFalse();
		assertThat(check.isSlackUsedUp(top, 401)).isTrue();
		assertThat(check.isSlackUsedUp(waiting(Tier.STANDARD, FOREVER, 500, 500), 401)).isFalse();
	}

}
