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
 * A request of this daemon that has no permit yet.
 */
final class PendingRequest {

	/** Time by which an owner's answer may come later than a request may begin. */
	private static final long ANSWER_GRACE_MILLIS = 50;

	private final SchedulingRequest request;

	private final PermitListener listener;

	private final long deadline;

	private final long promptBy;

	private final long startBy;

	private final Set<BackendServerId> tried = new HashSet<>();

	private @Nullable ServerView server;

	private @Nullable DaemonId owner;

	private boolean answerPending;

	private boolean queued;

	private long askedAt;

	private long placedAt;

	private long expectedWaitMillis;

	private long backoffUntil;

	private int retries;

	private int moves;

	private int silences;

	private boolean mayPreempt;

	private PermitDenial denial = PermitDenial.ISOLATED;

	private long retryAfterMillis;

	PendingRequest(SchedulingRequest request, PermitListener listener) {
		this.request = request;
		this.listener = listener;
		this.deadline = request.deadline().toEpochMilli();
		this.promptBy = request.patience().promptBy().toEpochMilli();
		this.startBy = request.patience().startBy().toEpochMilli();
		this.tried.addAll(request.avoided());
	}

	SchedulingRequest request() {
		return this.request;
	}

	PermitListener listener() {
		return this.listener;
	}

	/**
	 * Returns why it is too late to begin.
	 * @param now the current time
	 * @return the reason, or {@code null} if it is of use to go on waiting
	 */
	@Nullable RefusalReason overdue(long now) {
		if (this.deadline <= now) {
			return RefusalReason.DEADLINE_PASSED;
		}
		return (this.startBy + ANSWER_GRACE_MILLIS < now) ? RefusalReason.OVERLOADED : null;
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

	boolean isAt(BackendServerId id) {
		return this.server != null && this.server.server().id().equals(id);
	}

	boolean hasTried(ServerView view) {
		return this.tried.contains(view.server().id());
	}

	/**
	 * Begins a second round over all backend servers, in which lower tiers give way.
	 * @return whether there was no such round yet
	 */
	boolean beginPreemption() {
		boolean first = !this.mayPreempt;
		this.mayPreempt = true;
		forgetTried();
		return first;
	}

	/**
	 * Asks where no room is known, so that lower tiers give way at once.
	 */
	void allowPreemption() {
		this.mayPreempt = true;
	}

	void asking(ServerView newServer, DaemonId newOwner, long now) {
		this.server = newServer;
		this.owner = newOwner;
		this.askedAt = now;
		this.placedAt = now;
		this.silences = 0;
		this.queued = false;
		this.answerPending = true;
		newServer.asked(this.request.estimate().prompt());
	}

	void askedAgain(long now) {
		this.askedAt = now;
		this.silences++;
	}

	/**
	 * An answer came, or none is waited for any more.
	 */
	void answered() {
		this.silences = 0;
		if (this.answerPending && this.server != null) {
			this.server.answered(this.request.estimate().prompt());
		}
		this.answerPending = false;
	}

	void queued(long waitMillis, long now) {
		answered();
		this.queued = true;
		this.askedAt = now;
		this.expectedWaitMillis = waitMillis;
	}

	/**
	 * Leaves the present backend server, which is not tried again soon.
	 */
	void left() {
		answered();
		if (this.server != null) {
			this.tried.add(this.server.server().id());
		}
		this.server = null;
		this.owner = null;
		this.queued = false;
	}

	void denied(PermitDenial newDenial, Duration retryAfter) {
		this.denial = newDenial;
		this.retryAfterMillis = Math.max(this.retryAfterMillis, retryAfter.toMillis());
	}

	PermitDenial denial() {
		return this.denial;
	}

	long retryAfterMillis() {
		return this.retryAfterMillis;
	}

	int retried() {
		return ++this.retries;
	}

	int moved() {
		return ++this.moves;
	}

	int moves() {
		return this.moves;
	}

	void backOff(long until) {
		forgetTried();
		this.backoffUntil = until;
	}

	boolean isBackingOff() {
		return this.server == null;
	}

	long backoffUntil() {
		return this.backoffUntil;
	}

	boolean isSilentSince(long instant) {
		return this.askedAt <= instant;
	}

	int silences() {
		return this.silences;
	}

	boolean isPlacedBefore(long instant) {
		return this.placedAt < instant;
	}

	/**
	 * Returns the wait that is left where it is queued.
	 * @param now the current time
	 * @return milliseconds
	 */
	long remainingWaitMillis(long now) {
		return Math.max(0, this.expectedWaitMillis - (now - this.askedAt));
	}

	private void forgetTried() {
		this.tried.clear();
		this.tried.addAll(this.request.avoided());
	}

	RoutingRequest routing(long now) {
		return routing(now, this.request.tier().isTop());
	}

	/**
	 * Returns what the choice of a backend server needs to know.
	 * @param now the current time
	 * @param waitsForNone whether to leave out the wait for a place
	 * @return the request
	 */
	RoutingRequest routing(long now, boolean waitsForNone) {
		return new RoutingRequest(this.request.estimate(), waitsForNone, isProbe(), this.request.prefixHash(),
				this.deadline - now, this.startBy < this.deadline);
	}

	private boolean isProbe() {
		return !this.request.tier().isTop() && this.request.runningPolicy() == RunningPolicy.CANCELLABLE;
	}

	PermitRequest ask(ServerView view, long now) {
		return new PermitRequest(this.request.id(), view.server().id(), this.request.pool(),
				this.request.organisation(), this.request.tier(), this.request.rank(), this.request.estimate(),
				this.request.prefixHash(), this.request.runningPolicy(), this.request.fingerprint(),
				Duration.ofMillis(Math.max(0, this.deadline - now)),
				Duration.ofMillis(Math.max(0, this.promptBy - now)), Duration.ofMillis(Math.max(0, this.startBy - now)),
				this.mayPreempt);
	}

}
