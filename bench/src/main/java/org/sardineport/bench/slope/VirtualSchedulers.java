package org.sardineport.bench.slope;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.admission.Permit;
import org.sardineport.core.admission.PermitListener;
import org.sardineport.core.admission.RunMeasurement;
import org.sardineport.core.admission.SchedulingRequest;
import org.sardineport.core.backend.BackendKind;
import org.sardineport.core.backend.BackendServer;
import org.sardineport.core.backend.LoadReport;
import org.sardineport.core.fleet.FleetSnapshot;
import org.sardineport.core.fleet.Member;
import org.sardineport.core.fleet.MemberStatus;
import org.sardineport.core.identity.BackendServerId;
import org.sardineport.core.identity.DaemonId;
import org.sardineport.core.identity.FailureDomain;
import org.sardineport.core.identity.NetworkAddress;
import org.sardineport.core.identity.OrganisationId;
import org.sardineport.core.identity.PoolName;
import org.sardineport.core.identity.RequestId;
import org.sardineport.core.request.Fingerprint;
import org.sardineport.core.request.Refusal;
import org.sardineport.core.request.RetryReason;
import org.sardineport.core.request.RunningPolicy;
import org.sardineport.core.request.Tier;
import org.sardineport.core.request.TokenEstimate;
import org.sardineport.core.scheduling.OwnerLookup;
import org.sardineport.core.scheduling.Scheduler;
import org.sardineport.core.scheduling.SchedulingEffects;
import org.sardineport.core.scheduling.SchedulingLimits;
import org.sardineport.core.scheduling.SchedulingMessage;

/**
 * Schedulers of several daemons in virtual time. A single daemon owns all backend
 * servers. Of several daemons, the first owns none, so that all its requests spill over
 * to another owner. Not thread-safe.
 */
final class VirtualSchedulers {

	private static final Duration DEADLINE = Duration.ofMinutes(10);

	private static final int MAXIMUM_WAITING = 100_000;

	private static final int CONCURRENCY = 64;

	private static final PoolName POOL = PoolName.of("model");

	private static final FailureDomain FAILURE_DOMAIN = FailureDomain.of("region-1.domain-1");

	private final List<Scheduler> schedulers = new ArrayList<>();

	private final Deque<Runnable> deliveries = new ArrayDeque<>();

	private Instant now = Instant.EPOCH;

	private long nextRequest;

	private @Nullable Permit granted;

	private Consumer<SchedulingMessage> listener = (message) -> {
	};

	private VirtualSchedulers() {
	}

	static VirtualSchedulers create(int daemons, int servers, long seed) {
		VirtualSchedulers created = new VirtualSchedulers();
		SplittableRandom random = new SplittableRandom(seed);
		SchedulingLimits limits = new SchedulingLimits(Duration.ofSeconds(1), Duration.ofMillis(500), MAXIMUM_WAITING);
		OwnerLookup owners = (daemons == 1) ? (server, members) -> OwnerLookup.rendezvous().owner(server, members)
				: (server, members) -> OwnerLookup.rendezvous().owner(server, members.subList(1, members.size()));
		for (int i = 0; i < daemons; i++) {
			created.schedulers
				.add(Scheduler.create(id(i), limits, owners, () -> created.now, random.split(), created.effects(i)));
		}
		created.publishSnapshots(daemons, servers);
		return created;
	}

	private void publishSnapshots(int daemons, int servers) {
		List<Member> members = new ArrayList<>();
		for (int i = 0; i < daemons; i++) {
			members.add(new Member(id(i), 1, MemberStatus.ALIVE, FAILURE_DOMAIN, address(i), address(i), 1, 10));
		}
		List<BackendServer> pool = new ArrayList<>();
		for (int i = 0; i < servers; i++) {
			pool.add(new BackendServer(BackendServerId.of("worker-" + i), BackendKind.MODEL_ENGINE, POOL,
					FAILURE_DOMAIN, address(1000 + i), CONCURRENCY));
		}
		for (int i = 0; i < daemons; i++) {
			Scheduler scheduler = this.schedulers.get(i);
			scheduler.onFleetSnapshot(new FleetSnapshot(id(i), members, pool));
			pool.forEach((server) -> scheduler
				.onLoadReport(new LoadReport(server.id(), 0, 0, 1_000_000, false, true, this.now)));
		}
		deliver();
	}

	void setMessageListener(Consumer<SchedulingMessage> newListener) {
		this.listener = newListener;
	}

	void advance(Duration time) {
		this.now = this.now.plus(time);
	}

	/**
	 * Submits a request to an idle pool, which grants its permit immediately.
	 * @param daemon number of the daemon
	 * @return the permit
	 * @throws IllegalStateException if no permit is granted
	 */
	Permit submit(int daemon) {
		this.granted = null;
		this.schedulers.get(daemon).submit(request(), new GrantRecorder());
		deliver();
		Permit permit = this.granted;
		if (permit == null) {
			throw new IllegalStateException("idle pool did not grant a permit");
		}
		return permit;
	}

	/**
	 * Submits requests to the first daemon and drops its messages to the owners, so that
	 * the requests keep waiting.
	 * @param requests number of requests
	 */
	void submitWithoutReplies(int requests) {
		for (int i = 0; i < requests; i++) {
			this.schedulers.get(0).submit(request(), new GrantRecorder());
			this.deliveries.clear();
		}
	}

	void release(int daemon, Permit permit, RunMeasurement measurement) {
		this.schedulers.get(daemon).release(permit, measurement);
		deliver();
	}

	private SchedulingRequest request() {
		long number = this.nextRequest++;
		return new SchedulingRequest(RequestId.of("entry-vm-1234-" + number), POOL,
				OrganisationId.of("organisation-" + number % DesignScale.ORGANISATIONS), Tier.STANDARD,
				TokenEstimate.of(400, 200), number % 64 + 1, Fingerprint.of(number, number), RunningPolicy.CANCELLABLE,
				0, this.now, this.now.plus(DEADLINE));
	}

	private void deliver() {
		while (!this.deliveries.isEmpty()) {
			this.deliveries.removeFirst().run();
		}
	}

	private SchedulingEffects effects(int from) {
		return new SchedulingEffects() {

			@Override
			public void send(DaemonId to, SchedulingMessage message) {
				VirtualSchedulers.this.listener.accept(message);
				VirtualSchedulers.this.deliveries
					.addLast(() -> VirtualSchedulers.this.schedulers.get(number(to)).onMessage(id(from), message));
			}

			@Override
			public void recordRetry(RetryReason reason) {
			}

		};
	}

	private static DaemonId id(int number) {
		return DaemonId.of("entry-vm-" + number);
	}

	private static int number(DaemonId id) {
		return Integer.parseInt(id.value().substring("entry-vm-".length()));
	}

	private static NetworkAddress address(int number) {
		return NetworkAddress.of("10.1.%d.%d".formatted(number / 250, number % 250 + 1), 7000);
	}

	/**
	 * Records the permit that was granted last.
	 */
	private final class GrantRecorder implements PermitListener {

		@Override
		public void granted(Permit permit) {
			VirtualSchedulers.this.granted = permit;
		}

		@Override
		public void refused(Refusal refusal) {
			throw new IllegalStateException("idle pool refused a request: " + refusal);
		}

		@Override
		public void preempted(Permit permit) {
		}

	}

}
