package org.sardineport.core.scheduling;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;
import org.sardineport.core.admission.RunEnd;
import org.sardineport.core.admission.RunMeasurement;
import org.sardineport.core.backend.BackendKind;
import org.sardineport.core.backend.BackendServer;
import org.sardineport.core.capacity.CapacityChange;
import org.sardineport.core.capacity.CapacityReason;
import org.sardineport.core.identity.BackendServerId;
import org.sardineport.core.identity.DaemonId;
import org.sardineport.core.identity.OrganisationId;
import org.sardineport.core.identity.RequestId;
import org.sardineport.core.limit.ConcurrencyPolicy;
import org.sardineport.core.request.Fingerprint;
import org.sardineport.core.request.RunningPolicy;
import org.sardineport.core.request.Tier;
import org.sardineport.core.request.TokenEstimate;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards the use of the learned capacity by the owner of a backend server: permits and
 * the state that routing reads follow it, and a server whose throughput grows up to its
 * slots gets all its permits.
 */
class LearnedCapacitySchedulingTests {

	private static final int SLOTS = 16;

	private static final BackendServer SERVER = new BackendServer(BackendServerId.of("s"), BackendKind.PLAIN_SERVICE,
			SchedulingFixture.POOL, SchedulingFixture.DOMAIN, SchedulingFixture.ADDRESS, SLOTS);

	private static final DaemonId ENTRY = DaemonId.of("a");

	private final SplittableRandom random = new SplittableRandom(1);

	private final List<Run> runs = new ArrayList<>();

	private final List<CapacityChange> changes = new ArrayList<>();

	private int requests;

	private int granted;

	private long now = 1_000_000;

	private PermitOwner owner(ConcurrencyPolicy policy) {
		ServerModel model = new ServerModel(SERVER, new EngineAssumptions(policy, true, 0, 0));
		return new PermitOwner(SERVER, model, (to, message) -> {
			if (message instanceof PermitGrant grant) {
				this.granted++;
				this.runs.add(new Run(grant.request(), this.now, 200 * (0.5 + this.random.nextDouble())));
			}
		}, Duration.ofSeconds(1), new ReadDelay(DaemonId.of("owner"), (sequence) -> {
		}), true, this.now);
	}

	private void request(PermitOwner owner) {
		owner.request(ENTRY, permitRequest(RequestId.of("r" + this.requests++)), this.now);
	}

	private static PermitRequest permitRequest(RequestId id) {
		return new PermitRequest(id, SERVER.id(), SERVER.pool(), OrganisationId.of("o"), Tier.STANDARD, 0,
				TokenEstimate.of(0, 0), 0, RunningPolicy.CANCELLABLE, Fingerprint.of(1, 1), Duration.ofSeconds(2),
				Duration.ofSeconds(2), Duration.ofSeconds(2), false);
	}

	private void run(PermitOwner owner, int usefulSlots, double arrivalsPerSecond) {
		for (long until = this.now + 30_000; this.now < until; this.now++) {
			if (this.random.nextDouble() < arrivalsPerSecond / 1000) {
				request(owner);
			}
			double speed = (this.runs.size() <= usefulSlots) ? 1 : 0.4 * usefulSlots / this.runs.size();
			this.runs.forEach((run) -> run.work -= speed);
			for (Run run : List.copyOf(this.runs)) {
				if (run.work <= 0) {
					this.runs.remove(run);
					Duration duration = Duration.ofMillis(this.now - run.startedAt);
					owner.release(run.request, new RunMeasurement(RunEnd.COMPLETED, 0, 0, 0, duration, duration),
							this.now);
				}
			}
			if (this.now % 25 == 0) {
				owner.tick(this.now);
				this.changes.addAll(owner.takeCapacityChanges());
			}
		}
	}

	@Test
	void limitOfAServerThatCollapsesAtHalfFollows() {
		PermitOwner owner = owner(ConcurrencyPolicy.LEARNED);
		run(owner, 8, 24);
		assertThat(this.changes).first().extracting(CapacityChange::reason).isEqualTo(CapacityReason.KNEE);
		assertThat(owner.state(this.now).limit()).isBetween(6, 10);
	}

	// The load before the change of owners is not known, so that these runs show nothing.
	@Test
	void runsThatAFormerOwnerGrantedAreNotCompared() {
		PermitOwner owner = owner(ConcurrencyPolicy.LEARNED);
		run(owner, SLOTS, 48);
		for (int i = 0; i < 200; i++) {
			RequestId id = RequestId.of("former" + i);
			owner.onRunningPermits(DaemonId.of("b"), List.of(permitRequest(id)), this.now);
			this.now += 10;
			Duration duration = Duration.ofSeconds(9);
			owner.release(id, new RunMeasurement(RunEnd.COMPLETED, 0, 0, 0, duration, duration), this.now);
		}
		run(owner, SLOTS, 48);
		assertThat(this.changes).isEmpty();
	}

	@Test
	void serverWithoutKneeIsServedAsWithItsNominalConcurrency() {
		PermitOwner learned = owner(ConcurrencyPolicy.LEARNED);
		run(learned, SLOTS, 48);
		assertThat(this.changes).isEmpty();
		assertThat(learned.state(this.now).limit()).isEqualTo(SLOTS);
		int grantedByLearned = this.granted;
		LearnedCapacitySchedulingTests same = new LearnedCapacitySchedulingTests();
		same.run(same.owner(ConcurrencyPolicy.NOMINAL), SLOTS, 48);
		assertThat(grantedByLearned).isEqualTo(same.granted);
	}

	private static final class Run {

		private final RequestId request;

		private final long startedAt;

		private double work;

		Run(RequestId request, long startedAt, double work) {
			this.request = request;
			this.startedAt = startedAt;
			this.work = work;
		}

	}

}
