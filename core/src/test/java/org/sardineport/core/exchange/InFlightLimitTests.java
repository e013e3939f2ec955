package org.sardineport.core.exchange;

import org.junit.jupiter.api.Test;
import org.sardineport.core.request.Tier;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against requests of lower tiers that use up the capacity of the top tier.
 */
class InFlightLimitTests {

	private final InFlightLimit limit = InFlightLimit.of(3);

	@Test
	void lowerTiersDoNotUseUpRoomOfTopTier() {
		for (int i = 0; i < 3; i++) {
			assertThat(this.limit.tryAcquire(Tier.BATCH)).isTrue();
		}
		assertThat(this.limit.tryAcquire(Tier.INTERACTIVE)).isFalse();
		for (int i = 0; i < 3; i++) {
			assertThat(this.limit.tryAcquire(Tier.URGENT)).isTrue();
		}
		assertThat(this.limit.tryAcquire(Tier.URGENT)).isFalse();
		assertThat(this.limit.inFlight()).isEqualTo(6);
	}

	@Test
	void topTierRequestsCountAgainstLowerTiers() {
		this.limit.tryAcquire(Tier.URGENT);
		this.limit.tryAcquire(Tier.URGENT);
		assertThat(this.limit.tryAcquire(Tier.STANDARD)).isTrue();
		assertThat(this.limit.tryAcquire(Tier.STANDARD)).isFalse();
	}

	@Test
	void leavingFreesRoom() {
		for (int i = 0; i < 3; i++) {
			this.limit.tryAcquire(Tier.BATCH);
		}
		this.limit.release(Tier.BATCH);
		assertThat(this.limit.tryAcquire(Tier.BATCH)).isTrue();
	}

	@Test
	void enterIgnoresLimit() {
		InFlightLimit full = InFlightLimit.of(0);
		full.acquireUnchecked(Tier.BATCH);
		assertThat(full.inFlight()).isOne();
		assertThat(full.hasCapacityFor(Tier.URGENT)).isFalse();
	}

}
