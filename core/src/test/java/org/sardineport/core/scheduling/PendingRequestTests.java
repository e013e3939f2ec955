package org.sardineport.core.scheduling;

import java.time.Duration;
import java.time.Instant;

import org.junit.jupiter.api.Test;
import org.sardineport.core.admission.Permit;
import org.sardineport.core.admission.PermitListener;
import org.sardineport.core.admission.SchedulingRequest;
import org.sardineport.core.identity.OrganisationId;
import org.sardineport.core.identity.PoolName;
import org.sardineport.core.identity.RequestId;
import org.sardineport.core.request.Fingerprint;
import org.sardineport.core.request.Refusal;
import org.sardineport.core.request.RunningPolicy;
import org.sardineport.core.request.Tier;
import org.sardineport.core.request.TokenEstimate;

import static org.assertj.core.api.Assertions.assertThat;

class PendingRequestTests {

	private static final Duration SCHEDULER_TICK = Duration.ofMillis(25);

	private static PendingRequest pending() {
		SchedulingRequest request = new SchedulingRequest(RequestId.of("r"), PoolName.of("pool"),
				OrganisationId.of("organisation"), Tier.STANDARD, TokenEstimate.of(100, 100), 0, Fingerprint.of(1, 1),
				RunningPolicy.CANCELLABLE, 0, Instant.EPOCH, Instant.EPOCH.plusSeconds(60));
		return new PendingRequest(request, new NoListener());
	}

	// Load pattern: many requests wait at once in a large pool. Each looked for a better
	// server with every tick, which took the scheduling thread more time than all else.
	@Test
	void searchesForABetterServerDoNotGrowWithTheTicks() {
		PendingRequest pending = pending();
		int searches = 0;
		for (long now = 1_000; now < 2_000; now += SCHEDULER_TICK.toMillis()) {
			searches += pending.beginMoveCheck(now) ? 1 : 0;
		}
		assertThat(searches).isEqualTo(1_000 / (int) PendingRequest.MOVE_CHECK_MILLIS);
	}

	/**
	 * Listener that is not called.
	 */
	private static final class NoListener implements PermitListener {

		@Override
		public void granted(Permit permit) {
			throw new AssertionError("not granted");
		}

		@Override
		public void refused(Refusal refusal) {
			throw new AssertionError("not refused");
		}

		@Override
		public void preempted(Permit permit) {
			throw new AssertionError("not preempted");
		}

	}

}
