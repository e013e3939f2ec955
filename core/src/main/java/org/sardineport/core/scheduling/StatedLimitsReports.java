package org.sardineport.core.scheduling;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.backend.BackendProcess;
import org.sardineport.core.identity.BackendServerId;
import org.sardineport.core.identity.DaemonId;
import org.sardineport.core.limit.StatedLimits;
import org.sardineport.core.routing.ServerView;

/**
 * Entry side of the limits that backend servers state: keeps those that were stated in
 * responses to this daemon, and reports them to the owners, which apply them. All times
 * are milliseconds of the same clock. Not thread-safe.
 */
final class StatedLimitsReports {

	/**
	 * Time after which a limit that was not stated again is no longer reported, in
	 * milliseconds.
	 */
	private static final long REPORTED_MILLIS = 30_000;

	private final PoolDirectory directory;

	private final MessageOutbox outbox;

	/** The last statement of each backend server that stated a limit last. */
	private final Map<BackendServerId, Statement> limits = new HashMap<>();

	StatedLimitsReports(PoolDirectory directory, MessageOutbox outbox) {
		this.directory = directory;
		this.outbox = outbox;
	}

	/**
	 * Records what a backend server has just stated. Its owner is told at once, unless it
	 * applies these limits as far as known.
	 * @param process the process that responded
	 * @param stated the limits, or {@link StatedLimits#NONE} if it stated none
	 * @param now the current time
	 */
	void record(BackendProcess process, StatedLimits stated, long now) {
		ServerView view = this.directory.view(process.server());
		if (view == null || !view.server().process().equals(process)) {
			return;
		}
		Statement statement = new Statement(process, stated, now);
		Statement former = stated.isLimited() ? this.limits.put(process.server(), statement)
				: this.limits.remove(process.server());
		boolean sameRate = view.state().startRate().limit().equals(stated.rate());
		boolean known = sameRate && maxRejections(former) == stated.maxRejections();
		DaemonId owner = view.owner();
		if (owner != null && !known) {
			this.outbox.send(owner, statement.report(now));
		}
	}

	private static int maxRejections(@Nullable Statement statement) {
		return (statement != null) ? statement.limits().maxRejections() : StatedLimits.ANY_REJECTIONS;
	}

	/**
	 * Reports the limits of a backend server to its owner, if any were stated lately.
	 * Must be called before each permit request.
	 * @param view the backend server
	 * @param owner the owner
	 * @param now the current time
	 */
	void reportTo(ServerView view, DaemonId owner, long now) {
		Statement statement = this.limits.get(view.server().id());
		if (statement == null) {
			return;
		}
		if (!statement.process().equals(view.server().process()) || now - statement.time() > REPORTED_MILLIS) {
			this.limits.remove(view.server().id());
			return;
		}
		this.outbox.send(owner, statement.report(now));
	}

	/**
	 * Reports all limits that were stated lately to their owners, which may have become
	 * owners just now.
	 * @param now the current time
	 */
	void onOwnersChanged(long now) {
		this.limits.keySet().removeIf((id) -> this.directory.view(id) == null);
		for (BackendServerId id : List.copyOf(this.limits.keySet())) {
			ServerView view = this.directory.view(id);
			if (view != null && view.owner() != null) {
				reportTo(view, view.owner(), now);
			}
		}
	}

	/**
	 * What a backend server stated in a response.
	 *
	 * @param process the process that responded
	 * @param limits the limits
	 * @param time when the response arrived
	 */
	private record Statement(BackendProcess process, StatedLimits limits, long time) {

		StatedLimitsReport report(long now) {
			return new StatedLimitsReport(this.process, this.limits, Duration.ofMillis(now - this.time));
		}

	}

}
