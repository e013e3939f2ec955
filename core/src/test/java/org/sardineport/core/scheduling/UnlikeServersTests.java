package org.sardineport.core.scheduling;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;
import org.sardineport.core.admission.Permit;
import org.sardineport.core.admission.PermitListener;
import org.sardineport.core.admission.RunEnd;
import org.sardineport.core.admission.RunMeasurement;
import org.sardineport.core.admission.SchedulingRequest;
import org.sardineport.core.backend.BackendKind;
import org.sardineport.core.backend.BackendServer;
import org.sardineport.core.fleet.FleetSnapshot;
import org.sardineport.core.fleet.Member;
import org.sardineport.core.fleet.MemberStatus;
import org.sardineport.core.identity.BackendServerId;
import org.sardineport.core.identity.DaemonId;
import org.sardineport.core.identity.OrganisationId;
import org.sardineport.core.identity.RequestId;
import org.sardineport.core.limit.ConcurrencyPolicy;
import org.sardineport.core.request.Fingerprint;
import org.sardineport.core.request.Refusal;
import org.sardineport.core.request.RetryReason;
import org.sardineport.core.request.RunningPolicy;
import org.sardineport.core.request.Tier;
import org.sardineport.core.request.TokenEstimate;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against routing that does not find the fast ones of servers side by side whose
 * speeds are 0.55, 1 and 2.8. Callers' time is compared with a policy that knows the
 * speeds and sends each request to the fastest server with a free slot.
 */
class UnlikeServersTests implements InstantSource {

	private static final int SLOTS = 16;

	private static final double[] SPEEDS = { 0.55, 1, 2.8 };

	private static final double MEAN_WORK_MILLIS = 200;

	private static final double ARRIVALS_PER_MILLI = 0.2;

	private static final long LEARNING_MILLIS = 10_000;

	private static final long END_MILLIS = 40_000;

	private static final DaemonId SELF = DaemonId.of("a");

	private final SplittableRandom random = new SplittableRandom(7);

	private final List<Run> runs = new ArrayList<>();

	private final Map<BackendServerId, Integer> indexes = new HashMap<>();

	private final int[] running = new int[SPEEDS.length];

	private Instant now = Instant.ofEpochSecond(1_000_000);

	private int requests;

	private int refused;

	private int ended;

	private double callersMillis;

	private Scheduler scheduler(ConcurrencyPolicy policy) {
		SchedulingLimits limits = new SchedulingLimits(Duration.ofSeconds(1), Duration.ofMillis(500), 1000,
				new EngineAssumptions(policy, true, 0, 0));
		Scheduler scheduler = Scheduler.create(SELF, limits, (server, members) -> Optional.of(SELF), this,
				new SplittableRandom(1), new SchedulingEffects() {

					@Override
					public void send(DaemonId to, SchedulingMessage message) {
						throw new AssertionError("there is no other daemon");
					}

					@Override
					public void recordRetry(RetryReason reason) {
					}

				});
		List<BackendServer> servers = new ArrayList<>();
		for (int i = 0; i < SPEEDS.length; i++) {
			BackendServerId id = BackendServerId.of("s" + i);
			this.indexes.put(id, i);
			servers.add(new BackendServer(id, BackendKind.PLAIN_SERVICE, SchedulingFixture.POOL,
					SchedulingFixture.DOMAIN, SchedulingFixture.ADDRESS, SLOTS));
		}
		Member self = new Member(SELF, 1, MemberStatus.ALIVE, SchedulingFixture.DOMAIN, SchedulingFixture.ADDRESS,
				SchedulingFixture.ADDRESS, 0, 0);
		scheduler.onFleetSnapshot(new FleetSnapshot(SELF, List.of(self), servers));
		return scheduler;
	}

	private double meanScheduledMillis(ConcurrencyPolicy policy) {
		Scheduler scheduler = scheduler(policy);
		for (int millis = 0; millis < END_MILLIS; millis++) {
			if (this.random.nextDouble() < ARRIVALS_PER_MILLI) {
				submit(scheduler, work(), millis);
			}
			for (Run run : advance()) {
				Duration duration = Duration.ofMillis(millis + 1 - run.startedAt);
				scheduler.release(run.permit, new RunMeasurement(RunEnd.COMPLETED, 0, 0, 0, duration, duration));
				recordEnd(run, millis);
			}
			this.now = this.now.plusMillis(1);
			if (millis % 25 == 0) {
				scheduler.tick();
			}
		}
		assertThat(this.refused).isZero();
		return this.callersMillis / this.ended;
	}

	private double meanKnownMillis() {
		for (int millis = 0; millis < END_MILLIS; millis++) {
			if (this.random.nextDouble() < ARRIVALS_PER_MILLI) {
				int server = SPEEDS.length - 1;
				while (server > 0 && this.running[server] >= SLOTS) {
					server--;
				}
				this.runs.add(new Run(null, server, work(), millis, millis));
				this.running[server]++;
			}
			for (Run run : advance()) {
				recordEnd(run, millis);
			}
		}
		return this.callersMillis / this.ended;
	}

	private double work() {
		return MEAN_WORK_MILLIS * (0.5 + this.random.nextDouble());
	}

	private void submit(Scheduler scheduler, double work, int arrivedAt) {
		int number = ++this.requests;
		SchedulingRequest request = new SchedulingRequest(RequestId.of("r" + number), SchedulingFixture.POOL,
				OrganisationId.of("o"), Tier.STANDARD, TokenEstimate.of(0, 0), 0, Fingerprint.of(number, 1),
				RunningPolicy.CANCELLABLE, 0, this.now, this.now.plusSeconds(10));
		scheduler.submit(request, new PermitListener() {

			@Override
			public void granted(Permit permit) {
				int server = UnlikeServersTests.this.indexes.get(permit.backendServer().id());
				UnlikeServersTests.this.runs.add(new Run(permit, server, work, arrivedAt, millisSinceStart()));
				UnlikeServersTests.this.running[server]++;
			}

			@Override
			public void refused(Refusal refusal) {
				UnlikeServersTests.this.refused++;
			}

			@Override
			public void preempted(Permit permit) {
				throw new AssertionError("there is only one tier");
			}

		});
	}

	private int millisSinceStart() {
		return (int) Duration.between(Instant.ofEpochSecond(1_000_000), this.now).toMillis();
	}

	private List<Run> advance() {
		this.runs.forEach((run) -> run.work -= SPEEDS[run.server]);
		List<Run> finished = this.runs.stream().filter((run) -> run.work <= 0).toList();
		this.runs.removeAll(finished);
		finished.forEach((run) -> this.running[run.server]--);
		return finished;
	}

	private void recordEnd(Run run, int millis) {
		if (run.arrivedAt >= LEARNING_MILLIS) {
			this.ended++;
			this.callersMillis += millis + 1 - run.arrivedAt;
		}
	}

	@Test
	void callersTimeIsWithinATenthOfThatWithKnownSpeeds() {
		double known = new UnlikeServersTests().meanKnownMillis();
		assertThat(meanScheduledMillis(ConcurrencyPolicy.LEARNED)).isLessThan(1.1 * known);
	}

	@Override
	public Instant instant() {
		return this.now;
	}

	private static final class Run {

		private final Permit permit;

		private final int server;

		private double work;

		private final int arrivedAt;

		private final int startedAt;

		Run(Permit permit, int server, double work, int arrivedAt, int startedAt) {
			this.permit = permit;
			this.server = server;
			this.work = work;
			this.arrivedAt = arrivedAt;
			this.startedAt = startedAt;
		}

	}

}
