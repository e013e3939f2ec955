package org.sardineport.core.scheduling;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

import org.junit.jupiter.api.Test;
import org.sardineport.core.identity.BackendServerId;
import org.sardineport.core.identity.DaemonId;
import org.sardineport.core.identity.OrganisationId;
import org.sardineport.core.identity.PoolName;
import org.sardineport.core.identity.RequestId;
import org.sardineport.core.request.Fingerprint;
import org.sardineport.core.request.RunningPolicy;
import org.sardineport.core.request.Tier;
import org.sardineport.core.request.TokenEstimate;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards the order of waiting requests: on-time before late, by tier, and with equal
 * token shares for organisations.
 */
class OwnerQueueTests {

	private final OwnerQueue queue = new OwnerQueue();

	private int requests;

	private WaitingRequest add(Tier tier, String organisation, int tokens, long deadline) {
		RequestId id = RequestId.of("r" + this.requests++);
		WaitingRequest waiting = new WaitingRequest(
				new PermitRequest(id, BackendServerId.of("s"), PoolName.of("model"), OrganisationId.of(organisation),
						tier, 0, TokenEstimate.of(tokens, 0), 0, RunningPolicy.CANCELLABLE, Fingerprint.of(1, 1),
						Duration.ofSeconds(1), Duration.ofSeconds(1), Duration.ofSeconds(1), false),
				DaemonId.of("a"), deadline, deadline, deadline);
		this.queue.add(waiting);
		return waiting;
	}

	private WaitingRequest poll() {
		WaitingRequest next = this.queue.peek();
		assertThat(next).isNotNull();
		this.queue.take(next);
		return next;
	}

	@Test
	void lateRequestGoesBehindRequestsThatAreOnTime() {
		WaitingRequest first = add(Tier.STANDARD, "o", 10, 100);
		WaitingRequest second = add(Tier.BATCH, "o", 10, 200);
		this.queue.demoteLate(150);
		assertThat(this.queue.onTimeSize()).isEqualTo(1);
		assertThat(this.queue.countAhead(Tier.BATCH)).isEqualTo(1);
		assertThat(poll()).isEqualTo(second);
		assertThat(poll()).isEqualTo(first);
		assertThat(this.queue.size()).isZero();
	}

	@Test
	void lateRequestCanBeRemoved() {
		WaitingRequest late = add(Tier.STANDARD, "o", 10, 100);
		this.queue.demoteLate(150);
		assertThat(this.queue.removeIf((waiting) -> true)).containsExactly(late);
		assertThat(this.queue.peek()).isNull();
		assertThat(this.queue.hasWaiting(Tier.STANDARD)).isFalse();
	}

	@Test
	void ordersByTierThenByDeadline() {
		WaitingRequest batch = add(Tier.BATCH, "o", 10, 1);
		WaitingRequest late = add(Tier.URGENT, "o", 10, 9);
		WaitingRequest early = add(Tier.URGENT, "o", 10, 5);
		assertThat(poll()).isEqualTo(early);
		assertThat(poll()).isEqualTo(late);
		assertThat(poll()).isEqualTo(batch);
		assertThat(this.queue.peek()).isNull();
	}

	@Test
	void organisationsGetEqualTokensRegardlessOfRequestSize() {
		for (int i = 0; i < 400; i++) {
			add(Tier.STANDARD, "small", 500, i);
			add(Tier.STANDARD, "large", 20_000, i);
		}
		Map<String, Integer> tokens = new HashMap<>();
		for (int i = 0; i < 300; i++) {
			WaitingRequest next = poll();
			tokens.merge(next.permitRequest().organisation().value(), next.permitRequest().estimate().total(),
					Integer::sum);
		}
		assertThat((double) tokens.get("small") / tokens.get("large")).isBetween(0.75, 1.33);
	}

	@Test
	void idleOrganisationDoesNotAccumulateDeficit() {
		add(Tier.STANDARD, "idle", 10, 1);
		poll();
		for (int i = 0; i < 50; i++) {
			add(Tier.STANDARD, "busy", 2000, i);
			poll();
		}
		for (int i = 0; i < 10; i++) {
			add(Tier.STANDARD, "idle", 2000, i);
			add(Tier.STANDARD, "busy", 2000, i);
		}
		int idle = 0;
		for (int i = 0; i < 10; i++) {
			idle += (poll().permitRequest().organisation().value().equals("idle")) ? 1 : 0;
		}
		assertThat(idle).isBetween(4, 6);
	}

	@Test
	void countAheadIncludesEquallyAndMoreUrgentTiers() {
		add(Tier.URGENT, "o", 10, 1);
		add(Tier.STANDARD, "o", 10, 1);
		add(Tier.BATCH, "o", 10, 1);
		assertThat(this.queue.countAhead(Tier.URGENT)).isEqualTo(1);
		assertThat(this.queue.countAhead(Tier.STANDARD)).isEqualTo(2);
		assertThat(this.queue.countAhead(Tier.BATCH)).isEqualTo(3);
	}

	@Test
	void queueIsEmptyAfterAllRequestsAreRemoved() {
		add(Tier.STANDARD, "o", 10, 1);
		assertThat(this.queue.removeIf((waiting) -> true)).hasSize(1);
		assertThat(this.queue.size()).isZero();
		assertThat(this.queue.peek()).isNull();
	}

}
