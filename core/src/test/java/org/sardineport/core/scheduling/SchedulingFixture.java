package org.sardineport.core.scheduling;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Predicate;

import org.sardineport.core.admission.Permit;
import org.sardineport.core.admission.PermitListener;
import org.sardineport.core.admission.RunEnd;
import org.sardineport.core.admission.RunMeasurement;
import org.sardineport.core.admission.SchedulingRequest;
import org.sardineport.core.backend.BackendKind;
import org.sardineport.core.backend.BackendServer;
import org.sardineport.core.backend.LoadReport;
import org.sardineport.core.backend.SoftwareVersion;
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

/**
 * Schedulers of several daemons in virtual time. Messages between them are held in a list
 * until the test delivers or drops them.
 */
final class SchedulingFixture implements InstantSource {

	static final PoolName POOL = PoolName.of("model");

	static final FailureDomain DOMAIN = FailureDomain.of("bole");

	static final NetworkAddress ADDRESS = NetworkAddress.of("127.0.0.1", 9);

	final Map<DaemonId, Scheduler> schedulers = new LinkedHashMap<>();

	final Map<BackendServerId, DaemonId> owners = new LinkedHashMap<>();

	final List<BackendServer> servers = new ArrayList<>();

	final List<Sent> sent = new ArrayList<>();

	final List<RetryReason> retries = new ArrayList<>();

	Instant now = Instant.ofEpochSecond(1_000_000);

	Duration ownerTimeout = Duration.ofMillis(500);

	private int requests;

	long incarnation = 1;

	SchedulingFixture daemons(String... names) {
		for (String name : names) {
			DaemonId id = DaemonId.of(name);
			this.schedulers.put(id,
					Scheduler.create(id, new SchedulingLimits(Duration.ofSeconds(1), this.ownerTimeout, 100),
							(server, members) -> Optional.ofNullable(this.owners.get(server.id()))
								.filter((owner) -> members.stream().anyMatch((member) -> member.id().equals(owner))),
							this, new SplittableRandom(1), new Effects(id)));
		}
		return this;
	}

	SchedulingFixture server(String name, int concurrency, String owner) {
		BackendServerId id = BackendServerId.of(name);
		this.servers.add(new BackendServer(id, BackendKind.MODEL_ENGINE, POOL, DOMAIN, ADDRESS, concurrency));
		this.owners.put(id, DaemonId.of(owner));
		return this;
	}

	SchedulingFixture server(String name, int concurrency, String owner, SoftwareVersion version) {
		server(name, concurrency, owner);
		this.servers.add(this.servers.remove(this.servers.size() - 1).withSoftwareVersion(version));
		return this;
	}

	/**
	 * Replaces a backend server under its name by one of another version. The daemons are
	 * told by the next publication of the fleet.
	 */
	void replaceServer(String name, SoftwareVersion version) {
		this.servers
			.replaceAll((server) -> server.id().value().equals(name) ? server.withSoftwareVersion(version) : server);
	}

	/**
	 * Restarts the only backend server under the same name.
	 */
	void restartServer() {
		BackendServer former = this.servers.remove(0);
		this.servers.add(new BackendServer(former.id(), former.kind(), former.pool(), former.failureDomain(),
				former.address(), former.nominalConcurrency(), this.now));
		publishFleet();
	}

	SchedulingFixture publishFleet(String... dead) {
		List<Member> members = members(dead);
		this.schedulers
			.forEach((id, scheduler) -> scheduler.onFleetSnapshot(new FleetSnapshot(id, members, this.servers)));
		return this;
	}

	void publishFleetTo(String daemon, String... dead) {
		scheduler(daemon).onFleetSnapshot(new FleetSnapshot(DaemonId.of(daemon), members(dead), this.servers));
	}

	private List<Member> members(String... dead) {
		return this.schedulers.keySet()
			.stream()
			.map((id) -> new Member(id, this.incarnation,
					(List.of(dead).contains(id.value())) ? MemberStatus.DEAD : MemberStatus.ALIVE, DOMAIN, ADDRESS,
					ADDRESS, 0, 0))
			.toList();
	}

	Scheduler scheduler(String daemon) {
		return this.schedulers.get(DaemonId.of(daemon));
	}

	Caller submit(String daemon, Tier tier) {
		return submit(daemon, request(tier));
	}

	Caller submit(String daemon, SchedulingRequest request) {
		Caller caller = new Caller(scheduler(daemon), request);
		scheduler(daemon).submit(request, caller);
		return caller;
	}

	SchedulingRequest request(Tier tier) {
		return request(tier, RunningPolicy.CANCELLABLE, Duration.ofSeconds(60));
	}

	SchedulingRequest request(Tier tier, RunningPolicy policy, Duration deadline) {
		return request(tier, policy, deadline, "organisation", 0, TokenEstimate.of(100, 100));
	}

	SchedulingRequest request(Tier tier, RunningPolicy policy, Duration deadline, String organisation, long limit,
			TokenEstimate estimate) {
		int number = ++this.requests;
		return new SchedulingRequest(RequestId.of("request-" + number), POOL, OrganisationId.of(organisation), tier,
				estimate, 0, Fingerprint.of(number, 1), policy, limit, this.now, this.now.plus(deadline));
	}

	SchedulingRequest resubmitted(SchedulingRequest original) {
		return new SchedulingRequest(original.id(), original.pool(), original.organisation(), original.tier(),
				original.estimate(), original.prefixHash(), original.fingerprint(), original.runningPolicy(),
				original.organisationTokensPerSecond(), this.now, this.now.plusSeconds(60));
	}

	/**
	 * Delivers all messages, including the replies to them.
	 */
	void deliver() {
		while (!this.sent.isEmpty()) {
			deliver(this.sent.remove(0));
		}
	}

	void deliver(Sent message) {
		Scheduler to = this.schedulers.get(message.to());
		if (to != null) {
			to.onMessage(message.from(), message.message());
		}
	}

	void drop(Predicate<SchedulingMessage> condition) {
		this.sent.removeIf((message) -> condition.test(message.message()));
	}

	void advance(Duration time) {
		for (long remaining = time.toMillis(); remaining > 0; remaining -= 25) {
			this.now = this.now.plusMillis(Math.min(25, remaining));
			this.schedulers.values().forEach(Scheduler::tick);
		}
	}

	void advanceAndDeliver(Duration time) {
		for (long remaining = time.toMillis(); remaining > 0; remaining -= 25) {
			advance(Duration.ofMillis(Math.min(25, remaining)));
			deliver();
		}
	}

	@Override
	public Instant instant() {
		return this.now;
	}

	static SchedulingFixture singleDaemon(int concurrency) {
		SchedulingFixture fleet = new SchedulingFixture().daemons("a").server("s1", concurrency, "a").publishFleet();
		reportLoad(fleet, "a", "s1", 0, false);
		return fleet;
	}

	static SchedulingFixture twoDaemons(int concurrency) {
		SchedulingFixture fleet = new SchedulingFixture().daemons("a", "b")
			.server("s1", concurrency, "b")
			.publishFleet();
		reportLoad(fleet, "b", "s1", 0, false);
		return fleet;
	}

	static void reportLoad(SchedulingFixture fleet, String daemon, String server, int running, boolean leaving) {
		fleet.scheduler(daemon)
			.onLoadReport(new LoadReport(BackendServerId.of(server), running, 0, 0, leaving, false, fleet.now));
	}

	static List<Caller> fill(SchedulingFixture fleet, String daemon, Tier tier, int count) {
		List<Caller> callers = new ArrayList<>();
		for (int i = 0; i < count; i++) {
			callers.add(fleet.submit(daemon, tier));
			fleet.deliver();
		}
		return callers;
	}

	/**
	 * A message between daemons.
	 *
	 * @param from sender
	 * @param to receiver
	 * @param message the message
	 */
	record Sent(DaemonId from, DaemonId to, SchedulingMessage message) {

	}

	/**
	 * Records the decisions on one request.
	 */
	static final class Caller implements PermitListener {

		private final Scheduler scheduler;

		private final SchedulingRequest request;

		private final List<Permit> permits = new ArrayList<>();

		private final List<Refusal> refusals = new ArrayList<>();

		private final List<Permit> preemptions = new ArrayList<>();

		Caller(Scheduler scheduler, SchedulingRequest request) {
			this.scheduler = scheduler;
			this.request = request;
		}

		@Override
		public void granted(Permit permit) {
			this.permits.add(permit);
		}

		@Override
		public void refused(Refusal refusal) {
			this.refusals.add(refusal);
		}

		@Override
		public void preempted(Permit permit) {
			this.preemptions.add(permit);
		}

		SchedulingRequest request() {
			return this.request;
		}

		boolean isGranted() {
			return this.permits.size() == 1;
		}

		boolean isRefused() {
			return !this.refusals.isEmpty();
		}

		boolean isPreempted() {
			return !this.preemptions.isEmpty();
		}

		boolean isWaiting() {
			return this.permits.isEmpty() && this.refusals.isEmpty();
		}

		int decisions() {
			return this.permits.size() + this.refusals.size();
		}

		Refusal refusal() {
			return this.refusals.get(0);
		}

		Permit permit() {
			return this.permits.get(0);
		}

		void abandon() {
			this.scheduler.abandon(this.request.id());
		}

		void end(RunEnd end) {
			this.scheduler.release(permit(), RunMeasurement.none(end));
		}

		/** Ends the run because the process of its backend server crashed. */
		void crash() {
			this.scheduler.recordCrash(permit().backendServer().process(), this.request.suspects().all());
			end(RunEnd.BROKEN);
		}

		/** Completes a run at whose end the backend server states its load. */
		void complete(Duration total, int statedRequests) {
			this.scheduler.release(permit(), new RunMeasurement(RunEnd.COMPLETED, this.request.estimate().prompt(), 0,
					this.request.estimate().answer(), total, total)
				.withStatedRequests(statedRequests));
		}

		void complete(Duration first, Duration total) {
			this.scheduler.release(permit(), new RunMeasurement(RunEnd.COMPLETED, this.request.estimate().prompt(), 0,
					this.request.estimate().answer(), first, total));
		}

	}

	/**
	 * Collects the messages and retries of one daemon.
	 */
	private final class Effects implements SchedulingEffects {

		private final DaemonId from;

		Effects(DaemonId from) {
			this.from = from;
		}

		@Override
		public void send(DaemonId to, SchedulingMessage message) {
			SchedulingFixture.this.sent.add(new Sent(this.from, to, message));
		}

		@Override
		public void recordRetry(RetryReason reason) {
			SchedulingFixture.this.retries.add(reason);
		}

	}

}
