package org.sardineport.core.scheduling;

import java.time.Duration;
import java.util.HashSet;
import java.util.Set;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.admission.PermitListener;
import org.sardineport.core.admission.SchedulingRequest;
import org.sardineport.core.identity.BackendServerId;
import org.sardineport.core.identity.DaemonId;
import org.sardineport.core.request.RefusalReason;
import org.sardineport.core.request.RunningPolicy;
import org.sardineport.core.routing.RoutingRequest;
import org.sardineport.core.routing.ServerView;

/**
 * A request of this daemon that has no permit yet, with the state of its permit request.
 * Times are milliseconds of this daemon's clock. Not thread-safe.
 */
final class PendingRequest {

	/**
	 * Grace period, in milliseconds, for the owner's reply after the latest start time.
	 */
	private static final long REPLY_GRACE_MILLIS = 50;

	/**
	 * Interval, in milliseconds, at which the permit request of a queued request is
	 * repeated.
	 */
	private static final long QUEUED_REFRESH_MILLIS = 2000;

	/**
	 * Time between two searches for a better backend server, as each compares a number of
	 * them.
	 */
	static final long MOVE_CHECK_MILLIS = 100;

	/** Maximum time learned from replies after which a permit request is sent again. */
	private static final long MAX_REPLY_TIMEOUT_MILLIS = 500;

	private final SchedulingRequest request;

	private final PermitListener listener;

	private final long deadline;

	private final long targetStartBy;

	private final long startBy;

	private final Set<BackendServerId> tried = new HashSet<>();

	private @Nullable ServerView server;

	private @Nullable DaemonId owner;

	private boolean replyPending;

	private boolean queued;

	private long lastContactAt;

	private long assignedAt;

	private long moveCheckedAt;

	private long expectedWaitMillis;

	private long backoffUntil;

	private int retries;

	private int moves;

	private int unansweredResends;

	private boolean mayPreempt;

	private PermitDenial denial = PermitDenial.ISOLATED;

	private long retryAfterMillis;

	PendingRequest(SchedulingRequest request, PermitListener listener) {
		this.request = request;
		this.listener = listener;
		this.deadline = request.deadline().toEpochMilli();
		this.targetStartBy = request.startDeadlines().targetStartBy().toEpochMilli();
		this.startBy = request.startDeadlines().startBy().toEpochMilli();
		this.tried.addAll(request.excludedServers());
	}

	SchedulingRequest request() {
		return this.request;
	}

	PermitListener listener() {
		return this.listener;
	}

	/**
	 * Returns the reason to refuse a request that can no longer start in time.
	 * @param now the current time
	 * @return the reason, or {@code null} if the request can still start in time
	 */
	@Nullable RefusalReason expiryReason(long now) {
		if (this.deadline <= now) {
			return RefusalReason.DEADLINE_PASSED;
		}
		return (this.startBy + REPLY_GRACE_MILLIS < now) ? RefusalReason.OVERLOADED : null;
	}

	/**
	 * Returns for how long the caller waits for a start.
	 * @param now the current time
	 * @return milliseconds from now; negative if it no longer waits
	 */
	long startWithinMillis(long now) {
		return this.startBy - now;
	}

	@Nullable ServerView server() {
		return this.server;
	}

	@Nullable DaemonId owner() {
		return this.owner;
	}

	boolean isQueued() {
		return this.queued;
	}

	/**
	 * Returns whether the request ran at another backend server before. Such a retry is
	 * limited by the retry budget of whoever submitted it.
	 * @return whether it is exempt from the budget of messages between daemons
	 */
	boolean isRetryOfRun() {
		return !this.request.excludedServers().isEmpty();
	}

	boolean isAt(BackendServerId id) {
		return this.server != null && this.server.server().id().equals(id);
	}

	boolean hasTried(ServerView view) {
		return this.tried.contains(view.server().id());
	}

	/**
	 * Returns whether the request may run on a backend server at all: it is not excluded
	 * and is listed with the required software version, if there is one.
	 * @param view the backend server as listed now
	 * @return whether a permit for it may be used
	 */
	boolean admits(ServerView view) {
		return !this.request.excludedServers().contains(view.server().id())
				&& view.server().softwareVersion().satisfies(this.request.requiredVersion());
	}

	/**
	 * Begins a second round over all backend servers, in which lower-tier runs may be
	 * preempted.
	 * @return whether preemption was not allowed before
	 */
	boolean beginPreemption() {
		boolean first = !this.mayPreempt;
		this.mayPreempt = true;
		resetTried();
		return first;
	}

	/**
	 * Allows preemption in the first round, as no backend server is known to have room.
	 */
	void allowPreemption() {
		this.mayPreempt = true;
	}

	void assign(ServerView newServer, DaemonId newOwner, long now) {
		this.server = newServer;
		this.owner = newOwner;
		this.lastContactAt = now;
		this.assignedAt = now;
		this.unansweredResends = 0;
		this.queued = false;
		this.replyPending = true;
		newServer.replyTime().asked(now);
		newServer.permitRequested(this.request.estimate().prompt());
	}

	void recordResend(long now) {
		this.lastContactAt = now;
		this.unansweredResends++;
	}

	/**
	 * Records that the owner has replied.
	 * @param now the current time
	 */
	void recordReply(long now) {
		if (this.replyPending && this.server != null) {
			this.server.replyTime().replied(now - this.assignedAt, now);
		}
		endWaitForReply();
	}

	/**
	 * Records that the reply would come too late now.
	 * @param now the current time
	 */
	void recordMissedReply(long now) {
		if (this.replyPending && this.server != null) {
			this.server.replyTime().missed(now - this.assignedAt, now);
		}
		endWaitForReply();
	}

	private void endWaitForReply() {
		this.unansweredResends = 0;
		if (this.replyPending && this.server != null) {
			this.server.permitRequestEnded(this.request.estimate().prompt());
		}
		this.replyPending = false;
	}

	void recordQueued(long waitMillis, long now) {
		recordReply(now);
		this.queued = true;
		this.lastContactAt = now;
		this.expectedWaitMillis = waitMillis;
	}

	/**
	 * Detaches the request from its backend server, which is not tried again in this
	 * round.
	 */
	void unassign() {
		endWaitForReply();
		if (this.server != null) {
			this.tried.add(this.server.server().id());
		}
		this.server = null;
		this.owner = null;
		this.queued = false;
	}

	/**
	 * Skips a backend server in this round.
	 * @param view the backend server
	 */
	void skip(ServerView view) {
		this.tried.add(view.server().id());
	}

	void recordDenial(PermitDenial newDenial, Duration retryAfter) {
		this.denial = newDenial;
		this.retryAfterMillis = Math.max(this.retryAfterMillis, retryAfter.toMillis());
	}

	PermitDenial denial() {
		return this.denial;
	}

	long retryAfterMillis() {
		return this.retryAfterMillis;
	}

	int incrementRetries() {
		return ++this.retries;
	}

	int incrementMoves() {
		return ++this.moves;
	}

	int moves() {
		return this.moves;
	}

	void backOff(long until) {
		resetTried();
		this.backoffUntil = until;
	}

	boolean isBackingOff() {
		return this.server == null;
	}

	long backoffUntil() {
		return this.backoffUntil;
	}

	/**
	 * Returns whether the permit request is to be sent again.
	 * @param ownerTimeout minimum time within which an owner replies
	 * @param now the current time
	 * @return whether the owner has been silent for longer than it usually takes, or the
	 * request has been queued there for {@value #QUEUED_REFRESH_MILLIS} ms
	 */
	boolean isResendDue(Duration ownerTimeout, long now) {
		boolean refreshing = this.queued && this.unansweredResends == 0;
		long interval = (refreshing) ? QUEUED_REFRESH_MILLIS : replyTimeoutMillis(ownerTimeout);
		return this.lastContactAt <= now - interval;
	}

	private long replyTimeoutMillis(Duration ownerTimeout) {
		long learned = (this.server != null) ? this.server.replyTime().timeoutMillis() : 0;
		long timeout = Math.max(ownerTimeout.toMillis(), Math.min(learned, MAX_REPLY_TIMEOUT_MILLIS));
		return timeout << this.unansweredResends;
	}

	int unansweredResends() {
		return this.unansweredResends;
	}

	/**
	 * Returns whether to look for a better backend server now, and counts that as done.
	 * @param now the current time
	 * @return {@code true} at most once in {@value #MOVE_CHECK_MILLIS} ms
	 */
	boolean beginMoveCheck(long now) {
		if (now - Math.max(this.moveCheckedAt, this.assignedAt) < MOVE_CHECK_MILLIS) {
			return false;
		}
		this.moveCheckedAt = now;
		return true;
	}

	/**
	 * Returns whether the owner has sent any message since the permit was requested.
	 * @return whether it is alive
	 */
	boolean hasOwnerResponded() {
		return this.server != null && this.server.replyTime().isHeardSince(this.assignedAt);
	}

	boolean isAssignedBefore(long instant) {
		return this.assignedAt < instant;
	}

	/**
	 * Returns the remaining expected wait in the owner's queue.
	 * @param now the current time
	 * @return milliseconds, at least 0
	 */
	long remainingWaitMillis(long now) {
		return Math.max(0, this.expectedWaitMillis - (now - this.lastContactAt));
	}

	private void resetTried() {
		this.tried.clear();
		this.tried.addAll(this.request.excludedServers());
	}

	RoutingRequest routingRequest(long now) {
		return routingRequest(now, this.request.tier().isTop());
	}

	/**
	 * Returns the routing request from which a backend server is chosen.
	 * @param now the current time
	 * @param ignoreQueueWait whether to leave out the expected wait in the queue
	 * @return the routing request
	 */
	RoutingRequest routingRequest(long now, boolean ignoreQueueWait) {
		return new RoutingRequest(this.request.estimate(), ignoreQueueWait, isProbe(), this.request.prefixHash(),
				this.deadline - now, this.startBy < this.deadline, this.request.requiredVersion());
	}

	private boolean isProbe() {
		return !this.request.tier().isTop() && this.request.runningPolicy() == RunningPolicy.CANCELLABLE;
	}

	PermitRequest permitRequest(ServerView view, long now) {
		return new PermitRequest(this.request.id(), view.server().id(), this.request.pool(),
				this.request.organisation(), this.request.tier(), this.request.rank(), this.request.estimate(),
				this.request.prefixHash(), this.request.runningPolicy(), this.request.fingerprint(),
				Duration.ofMillis(Math.max(0, this.deadline - now)),
				Duration.ofMillis(Math.max(0, this.targetStartBy - now)),
				Duration.ofMillis(Math.max(0, this.startBy - now)), this.mayPreempt);
	}

}
