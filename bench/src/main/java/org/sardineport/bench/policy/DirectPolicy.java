package org.sardineport.bench.policy;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.sardineport.core.admission.RunEnd;
import org.sardineport.core.backend.LoadReport;
import org.sardineport.core.identity.BackendServerId;

/**
 * Baseline policy that dispatches each request on arrival, without tiers and queues.
 */
final class DirectPolicy implements Policy {

	private final PolicyRun run;

	private final PolicyKind.DirectChoice choice;

	private final Map<BackendServerId, Integer> loads = new HashMap<>();

	DirectPolicy(PolicyRun run, PolicyKind.DirectChoice choice) {
		this.run = run;
		this.choice = choice;
	}

	@Override
	public void onArrival(Job job) {
		List<FakeServer> pool = this.run.servers()
			.stream()
			.filter((server) -> server.server().pool().equals(job.request().pool()))
			.toList();
		this.run.dispatch(job, this.choice.choose(job, pool, this.loads));
	}

	@Override
	public void onEnd(Job job, RunEnd end) {
	}

	@Override
	public void onExpiry(Job job) {
	}

	@Override
	public void onLoadReport(LoadReport report) {
		this.loads.put(report.backendServer(), report.running() + report.waiting());
	}

	@Override
	public boolean isTierOrderKept() {
		return true;
	}

}
