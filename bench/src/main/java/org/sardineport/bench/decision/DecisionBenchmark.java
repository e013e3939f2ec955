package org.sardineport.bench.decision;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
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
 * JMH benchmark that admits a request, routes it, grants its permit and releases the
 * permit, on a daemon that owns the whole pool. Each thread has a scheduler of its own.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.SampleTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
public class DecisionBenchmark implements PermitListener, SchedulingEffects {

	private static final int REQUESTS = 1024;

	private static final NetworkAddress ADDRESS = NetworkAddress.of("127.0.0.1", 1);

	private static final PoolName POOL = PoolName.of("model");

	private static final FailureDomain DOMAIN = FailureDomain.of("bole");

	private static final RunMeasurement MEASUREMENT = new RunMeasurement(RunEnd.COMPLETED, 500, 0, 100,
			Duration.ofMillis(50), Duration.ofMillis(1000));

	/** Number of backend servers in the pool. */
	@Param({ "16", "100", "1000", "10000" })
	public int servers;

	private final List<SchedulingRequest> requests = new ArrayList<>();

	private Scheduler scheduler;

	private Permit permit;

	private int next;

	/**
	 * Creates a scheduler that owns the pool, and requests of all tiers and
	 * organisations.
	 */
	@Setup
	public void setUp() {
		DaemonId self = DaemonId.of("daemon");
		InstantSource clock = InstantSource.system();
		this.scheduler = Scheduler.create(self,
				new SchedulingLimits(Duration.ofSeconds(1), Duration.ofSeconds(1), REQUESTS), OwnerLookup.rendezvous(),
				clock, new SplittableRandom(1), this);
		List<BackendServer> pool = new ArrayList<>();
		for (int i = 0; i < this.servers; i++) {
			pool.add(new BackendServer(BackendServerId.of("engine-" + i), BackendKind.MODEL_ENGINE, POOL, DOMAIN,
					ADDRESS, 16));
		}
		Member member = new Member(self, 1, MemberStatus.ALIVE, DOMAIN, ADDRESS, ADDRESS, 0, 0);
		this.scheduler.onFleetSnapshot(new FleetSnapshot(self, List.of(member), pool));
		Instant now = clock.instant();
		for (int i = 0; i < REQUESTS; i++) {
			this.requests.add(new SchedulingRequest(RequestId.of("request-" + i), POOL,
					OrganisationId.of("organisation-" + i % 5), Tier.values()[i % Tier.values().length],
					TokenEstimate.of(500, 100), i % 40, Fingerprint.of(i, 0), RunningPolicy.CANCELLABLE, 0, now,
					now.plus(Duration.ofDays(1))));
		}
	}

	/**
	 * Submits one request and releases its permit.
	 * @return the permit, so that the JVM cannot eliminate the decision
	 */
	@Benchmark
	public Permit decide() {
		this.scheduler.submit(this.requests.get(this.next), this);
		this.next = (this.next + 1) % REQUESTS;
		this.scheduler.release(this.permit, MEASUREMENT);
		return this.permit;
	}

	@Override
	public void granted(Permit granted) {
		this.permit = granted;
	}

	@Override
	public void refused(Refusal refusal) {
		throw new IllegalStateException("benchmark request was refused: " + refusal);
	}

	@Override
	public void preempted(Permit preempted) {
		throw new IllegalStateException("benchmark request was preempted: " + preempted);
	}

	@Override
	public void send(DaemonId to, SchedulingMessage message) {
		throw new IllegalStateException("single daemon sent a message: " + message);
	}

	@Override
	public void recordRetry(RetryReason reason) {
		throw new IllegalStateException("benchmark request was retried: " + reason);
	}

}
