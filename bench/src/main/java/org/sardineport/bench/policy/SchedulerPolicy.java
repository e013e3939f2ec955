package org.sardineport.bench.policy;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

import org.sardineport.core.admission.Permit;
import org.sardineport.core.admission.PermitListener;
import org.sardineport.core.admission.RunEnd;
import org.sardineport.core.admission.RunMeasurement;
import org.sardineport.core.backend.LoadReport;
import org.sardineport.core.fleet.FleetSnapshot;
import org.sardineport.core.fleet.Member;
import org.sardineport.core.fleet.MemberStatus;
import org.sardineport.core.identity.BackendServerId;
import org.sardineport.core.identity.DaemonId;
import org.sardineport.core.identity.FailureDomain;
import org.sardineport.core.identity.RequestId;
import org.sardineport.core.request.Refusal;
import org.sardineport.core.request.RefusalReason;
import org.sardineport.core.request.RetryReason;
import org.sardineport.core.routing.ServerState;
import org.sardineport.core.scheduling.OwnerLookup;
import org.sardineport.core.scheduling.Scheduler;
import org.sardineport.core.scheduling.SchedulingEffects;
import org.sardineport.core.scheduling.SchedulingLimits;
import org.sardineport.core.scheduling.SchedulingMessage;

/**
 * Policy that runs the production scheduler: one instance for each daemon, connected by
 * messages with a network delay.
 */
final class SchedulerPolicy implements Policy {

	private static final double TICK_MILLIS = 25;

	private static final SchedulingLimits LIMITS = new SchedulingLimits(Duration.ofSeconds(1), Duration.ofMillis(500),
			10_000);

	private final PolicyRun run;

	private final List<Scheduler> schedulers = new ArrayList<>();

	private final Map<DaemonId, Integer> numbers = new HashMap<>();

	private final Map<RequestId, Permit> permits = new HashMap<>();

	private SchedulerPolicy(PolicyRun run) {
		this.run = run;
	}

	static SchedulerPolicy create(PolicyRun run, long seed) {
		SchedulerPolicy policy = new SchedulerPolicy(run);
		SplittableRandom random = new SplittableRandom(seed);
		for (int i = 0; i < Site.DAEMONS; i++) {
			DaemonId id = daemon(i);
			policy.numbers.put(id, i);
			policy.schedulers.add(Scheduler.create(id, LIMITS, OwnerLookup.rendezvous(), run.time(), random.split(),
					policy.new Effects(i)));
		}
		policy.publishSnapshots();
		policy.schedulers.forEach(policy::tick);
		return policy;
	}

	private static DaemonId daemon(int number) {
		return DaemonId.of("daemon-" + number);
	}

	private void publishSnapshots() {
		List<Member> members = new ArrayList<>();
		for (int i = 0; i < Site.DAEMONS; i++) {
			members
				.add(new Member(daemon(i), 1, MemberStatus.ALIVE, failureDomain(i), Site.ADDRESS, Site.ADDRESS, 0, 0));
		}
		for (int i = 0; i < Site.DAEMONS; i++) {
			this.schedulers.get(i)
				.onFleetSnapshot(new FleetSnapshot(daemon(i), members,
						this.run.servers().stream().map(FakeServer::server).toList()));
		}
	}

	private FailureDomain failureDomain(int daemon) {
		return this.run.site().failureDomain(daemon);
	}

	private void tick(Scheduler scheduler) {
		scheduler.tick();
		if (!this.run.isOver()) {
			this.run.time().schedule(TICK_MILLIS, () -> tick(scheduler));
		}
	}

	@Override
	public void onArrival(Job job) {
		this.schedulers.get(job.entry()).submit(job.request(), new Listener(job));
	}

	@Override
	public void onEnd(Job job, RunEnd end) {
		Permit permit = this.permits.remove(job.request().id());
		if (permit != null) {
			RunMeasurement measurement = job.measurement(end, this.run.time().millisNow());
			this.schedulers.get(job.entry()).release(permit, measurement);
		}
	}

	@Override
	public void onExpiry(Job job) {
		this.schedulers.get(job.entry()).abandon(job.request().id());
	}

	@Override
	public void onLoadReport(LoadReport report) {
		this.schedulers.forEach((scheduler) -> scheduler.onLoadReport(report));
	}

	@Override
	public boolean isTierOrderKept() {
		for (Scheduler scheduler : this.schedulers) {
			if (scheduler.isPriorityInverted()) {
				return false;
			}
		}
		return true;
	}

	/**
	 * Returns whether lower-tier requests occupy a backend server that could have run a
	 * refused top-tier request: one that is not isolated and that would finish the
	 * request by its deadline if it ran nothing else.
	 * @param job the refused request
	 * @return whether the refusal violates the order of tiers
	 */
	private boolean isShedBehindLowerTier(Job job) {
		double left = job.deadline() - this.run.time().millisNow();
		for (Scheduler scheduler : this.schedulers) {
			for (ServerState state : scheduler.states()) {
				if (isOfPool(state.backendServer(), job) && state.lowerTierRunning() && !state.isolated()
						&& unsharedRunMillis(state, job) < left) {
					return true;
				}
			}
		}
		return false;
	}

	private boolean isOfPool(BackendServerId id, Job job) {
		return this.run.servers()
			.stream()
			.anyMatch((fake) -> fake.server().id().equals(id) && fake.server().pool().equals(job.request().pool()));
	}

	private static double unsharedRunMillis(ServerState state, Job job) {
		if (job.request().estimate().total() == 0) {
			return state.serviceMillis();
		}
		return state.speed().prefillMillis(job.request().estimate().prompt())
				+ state.speed().decodeMillis(job.request().estimate().answer(), 1);
	}

	/**
	 * Applies the decisions on one request to the simulation run.
	 */
	private final class Listener implements PermitListener {

		private final Job job;

		Listener(Job job) {
			this.job = job;
		}

		@Override
		public void granted(Permit permit) {
			SchedulerPolicy.this.permits.put(permit.request(), permit);
			SchedulerPolicy.this.run.dispatch(this.job, SchedulerPolicy.this.run.server(permit.backendServer()));
		}

		@Override
		public void refused(Refusal refusal) {
			boolean shed = this.job.request().tier().isTop() && refusal.reason() != RefusalReason.ORGANISATION_LIMIT
					&& refusal.reason() != RefusalReason.QUARANTINED && isShedBehindLowerTier(this.job);
			SchedulerPolicy.this.run.refused(this.job, refusal, shed);
		}

		@Override
		public void preempted(Permit permit) {
			SchedulerPolicy.this.run.preempt(this.job);
		}

	}

	/**
	 * Delivers the messages of one daemon's scheduler after the network delay.
	 */
	private final class Effects implements SchedulingEffects {

		private final int from;

		Effects(int from) {
			this.from = from;
		}

		@Override
		public void send(DaemonId to, SchedulingMessage message) {
			SchedulerPolicy policy = SchedulerPolicy.this;
			int number = policy.numbers.getOrDefault(to, -1);
			double delay = policy.run.site().delayMillis(failureDomain(this.from), failureDomain(number));
			policy.run.countMessage();
			policy.run.time()
				.schedule(delay, () -> policy.schedulers.get(number).onMessage(daemon(this.from), message));
		}

		@Override
		public void recordRetry(RetryReason reason) {
			SchedulerPolicy.this.run.countRetry();
		}

	}

}
