package org.sardineport.core.scheduling;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.identity.BackendServerId;
import org.sardineport.core.identity.RequestId;
import org.sardineport.core.routing.ServerView;

/**
 * This daemon's requests that hold a permit, and the reports by which owners learn of
 * them after a lost release or a change of ownership. Not safe for use by several
 * threads.
 */
final class RunningRequests {

	/** Reports after a release, so that an owner which missed it frees the permit. */
	private static final int REPORTS_AFTER_RELEASE = 3;

	private final PoolDirectory directory;

	private final MessageOutbox outbox;

	private final Map<RequestId, RunningRequest> running = new LinkedHashMap<>();

	private final Map<BackendServerId, Integer> reportsDue = new HashMap<>();

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
			this.reportsDue.put(serverOf(run), REPORTS_AFTER_RELEASE);
		}
		return run;
	}

	int size() {
		return this.running.size();
	}

	/**
	 * Tells other daemons all that this one runs on their backend servers, also where its
	 * last run has ended lately.
	 */
	void report() {
		Set<BackendServerId> due = new LinkedHashSet<>(this.reportsDue.keySet());
		this.running.values().forEach((run) -> due.add(serverOf(run)));
		this.reportsDue.replaceAll((id, times) -> times - 1);
		this.reportsDue.values().removeIf((times) -> times <= 0);
		for (BackendServerId id : due) {
			if (!this.directory.isOwner(id)) {
				tellOwner(id);
			}
		}
	}

	/**
	 * Tells owners all that this daemon runs on backend servers which they own since the
	 * permits were granted.
	 */
	void tellNewOwners() {
		Set<BackendServerId> moved = new LinkedHashSet<>();
		for (RunningRequest run : this.running.values()) {
			if (!this.directory.isOwner(run.owner(), serverOf(run))) {
				moved.add(serverOf(run));
			}
		}
		moved.forEach(this::tellOwner);
	}

	private void tellOwner(BackendServerId id) {
		ServerView view = this.directory.view(id);
		if (view != null && view.owner() != null) {
			this.outbox.send(view.owner(),
					new RunningPermits(id,
							this.running.values()
								.stream()
								.filter((run) -> serverOf(run).equals(id))
								.map(RunningRequest::ask)
								.toList()));
		}
	}

	private static BackendServerId serverOf(RunningRequest run) {
		return run.permit().backendServer().id();
	}

}
