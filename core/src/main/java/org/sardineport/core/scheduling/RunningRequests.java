package org.sardineport.core.scheduling;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.admission.RunEnd;
import org.sardineport.core.admission.RunMeasurement;
import org.sardineport.core.identity.BackendServerId;
import org.sardineport.core.identity.DaemonId;
import org.sardineport.core.identity.RequestId;
import org.sardineport.core.routing.ServerView;

/**
 * Requests of this daemon that hold a permit. Reports them to owners, which corrects
 * their counts after a lost release or a change of ownership. Not thread-safe.
 */
final class RunningRequests {

	/**
	 * Number of reports sent after a release, so that an owner that did not receive the
	 * release frees the permit.
	 */
	private static final int REPORTS_AFTER_RELEASE = 3;

	private final PoolDirectory directory;

	private final MessageOutbox outbox;

	private final Map<RequestId, RunningRequest> running = new LinkedHashMap<>();

	private final Map<BackendServerId, Integer> remainingReports = new HashMap<>();

	RunningRequests(PoolDirectory directory, MessageOutbox outbox) {
		this.directory = directory;
		this.outbox = outbox;
	}

	void add(RunningRequest run) {
		this.running.put(run.request().id(), run);
	}

	@Nullable RunningRequest get(RequestId request) {
		return this.running.get(request);
	}

	@Nullable RunningRequest end(RequestId request) {
		RunningRequest run = this.running.remove(request);
		if (run != null) {
			this.remainingReports.put(serverOf(run), REPORTS_AFTER_RELEASE);
		}
		return run;
	}

	/**
	 * Returns a permit that this daemon does not use to its owner, unless the grant
	 * repeats that of a permit in use.
	 * @param owner the daemon that granted the permit
	 * @param grant the grant
	 */
	void returnUnused(DaemonId owner, PermitGrant grant) {
		RunningRequest run = this.running.get(grant.request());
		boolean duplicate = run != null && serverOf(run).equals(grant.backendServer()) && run.owner().equals(owner);
		if (!duplicate) {
			this.outbox.send(owner,
					new PermitRelease(grant.request(), grant.backendServer(), RunMeasurement.none(RunEnd.UNUSED)));
		}
	}

	/**
	 * Tells the owner that granted a permit, and the present owner if it is another, that
	 * the permit is no longer used.
	 * @param run the run that has ended
	 * @param measurement what was measured
	 */
	void sendRelease(RunningRequest run, RunMeasurement measurement) {
		PermitRelease release = new PermitRelease(run.request().id(), serverOf(run), measurement);
		this.outbox.send(run.owner(), release);
		ServerView view = this.directory.view(serverOf(run));
		if (view != null && view.owner() != null && !view.owner().equals(run.owner())) {
			this.outbox.send(view.owner(), release);
		}
	}

	int size() {
		return this.running.size();
	}

	/**
	 * Reports to other owners all requests that this daemon runs on their backend
	 * servers, including backend servers on which its last run has ended recently.
	 */
	void sendReports() {
		Set<BackendServerId> due = new LinkedHashSet<>(this.remainingReports.keySet());
		this.running.values().forEach((run) -> due.add(serverOf(run)));
		this.remainingReports.replaceAll((id, times) -> times - 1);
		this.remainingReports.values().removeIf((times) -> times <= 0);
		for (BackendServerId id : due) {
			if (!this.directory.isOwner(id)) {
				reportToOwner(id);
			}
		}
	}

	/**
	 * Reports running requests to daemons that became the owner after the permits were
	 * granted.
	 */
	void notifyNewOwners() {
		Set<BackendServerId> moved = new LinkedHashSet<>();
		for (RunningRequest run : this.running.values()) {
			if (!this.directory.isOwner(run.owner(), serverOf(run))) {
				moved.add(serverOf(run));
			}
		}
		moved.forEach(this::reportToOwner);
	}

	private void reportToOwner(BackendServerId id) {
		ServerView view = this.directory.view(id);
		if (view != null && view.owner() != null) {
			this.outbox.send(view.owner(),
					new RunningPermits(id,
							this.running.values()
								.stream()
								.filter((run) -> serverOf(run).equals(id))
								.map(RunningRequest::permitRequest)
								.toList()));
		}
	}

	private static BackendServerId serverOf(RunningRequest run) {
		return run.permit().backendServer().id();
	}

}
