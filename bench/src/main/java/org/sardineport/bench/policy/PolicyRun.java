package org.sardineport.bench.policy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.sardineport.core.admission.RunEnd;
import org.sardineport.core.backend.BackendKind;
import org.sardineport.core.backend.BackendServer;
import org.sardineport.core.backend.LoadReport;
import org.sardineport.core.identity.BackendServerId;
import org.sardineport.core.request.Refusal;

/**
 * One simulation run of a policy for a site, a load case and a seed, in virtual time. Not
 * thread-safe.
 */
final class PolicyRun {

	/** Time between two load reports. */
	private static final double REPORT_MILLIS = 1000;

	/** Delay of load reports. */
	private static final double REPORT_DELAY_MILLIS = 2000;

	private final Site site;

	private final LoadCase loadCase;

	private final VirtualTimeline time = new VirtualTimeline();

	private final List<FakeServer> servers = new ArrayList<>();

	private final Map<BackendServerId, FakeServer> serversById = new HashMap<>();

	private final RunResult result;

	private final Policy policy;

	private final List<Workload.Arrival> arrivals;

	private int openRequests;

	private PolicyRun(PolicyKind kind, Site site, LoadCase loadCase, long seed) {
		this.site = site;
		this.loadCase = loadCase;
		this.result = new RunResult(kind, site, loadCase, seed);
		this.arrivals = Workload.of(site, loadCase, seed);
		this.openRequests = this.arrivals.size();
		for (BackendServer server : site.servers()) {
			FakeServer fake = (server.kind() == BackendKind.MODEL_ENGINE)
					? new FakeModelEngine(server, EngineSpeed.of(this.servers.size()), this.time)
					: new FakePlainService(server, this.time);
			this.servers.add(fake);
			this.serversById.put(server.id(), fake);
		}
		this.policy = kind.create(this, seed);
	}

	static RunResult run(PolicyKind kind, Site site, LoadCase loadCase, long seed) {
		PolicyRun run = new PolicyRun(kind, site, loadCase, seed);
		run.run();
		return run.result;
	}

	private void run() {
		for (Workload.Arrival arrival : this.arrivals) {
			this.time.schedule(arrival.at(), () -> handleArrival(arrival.job()));
		}
		this.servers.forEach(this::report);
		if (this.loadCase.slowsDown()) {
			this.time.schedule(LoadCase.CHANGE_MILLIS, () -> this.servers.get(0).slowDown(LoadCase.SLOWDOWN));
		}
		while (this.openRequests > 0 && this.time.runNext()) {
			this.result.recordTierOrderCheck(this.policy.isTierOrderKept());
		}
	}

	private void handleArrival(Job job) {
		this.result.recordOffered(job);
		this.time.schedule(job.deadline() - this.time.millisNow(), () -> expire(job));
		this.policy.onArrival(job);
	}

	private void report(FakeServer server) {
		LoadReport report = server.load();
		this.time.schedule(REPORT_DELAY_MILLIS, () -> this.policy.onLoadReport(report));
		if (!isOver()) {
			this.time.schedule(REPORT_MILLIS, () -> report(server));
		}
	}

	Site site() {
		return this.site;
	}

	VirtualTimeline time() {
		return this.time;
	}

	List<FakeServer> servers() {
		return this.servers;
	}

	FakeServer server(BackendServer server) {
		FakeServer fake = this.serversById.get(server.id());
		if (fake == null) {
			throw new IllegalArgumentException("no fake backend server with id " + server.id());
		}
		return fake;
	}

	boolean isOver() {
		return this.openRequests == 0;
	}

	void dispatch(Job job, FakeServer server) {
		job.dispatch(server, this.time.millisNow(), () -> complete(job));
		double delay = this.site.delayMillis(this.site.failureDomain(job.entry()), server.server().failureDomain());
		this.time.schedule(delay, () -> {
			if (!job.isEnded()) {
				server.admit(job);
			}
		});
	}

	private void complete(Job job) {
		if (end(job)) {
			this.result.good(job);
			this.policy.onEnd(job, RunEnd.COMPLETED);
		}
	}

	private boolean end(Job job) {
		boolean first = job.end();
		if (first) {
			this.openRequests--;
		}
		return first;
	}

	private void expire(Job job) {
		FakeServer server = job.server();
		if (!end(job)) {
			return;
		}
		if (server != null) {
			server.cancel(job);
			this.result.timedOut(job);
			this.policy.onEnd(job, RunEnd.TIMED_OUT);
		}
		else {
			this.policy.onExpiry(job);
		}
	}

	void refused(Job job, Refusal refusal, boolean shedBehindLower) {
		if (end(job)) {
			this.result.refused(job, refusal.reason(), shedBehindLower);
		}
	}

	void preempt(Job job) {
		FakeServer server = job.server();
		if (server != null && end(job)) {
			server.cancel(job);
			this.result.preempted(job);
			this.policy.onEnd(job, RunEnd.CANCELLED);
		}
	}

	void countMessage() {
		this.result.message();
	}

	void countRetry() {
		this.result.retry();
	}

}
