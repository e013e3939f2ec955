package org.sardineport.core.routing;

import java.util.Objects;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.backend.BackendServer;
import org.sardineport.core.capacity.StatedLoad;
import org.sardineport.core.identity.DaemonId;
import org.sardineport.core.request.TokenEstimate;

/**
 * An entry's view of a backend server: the state last reported by its owner daemon,
 * adjusted by the permit requests that this entry has pending. Times are in milliseconds
 * of one clock. Not thread-safe.
 */
public final class ServerView {

	/** Age in milliseconds after which a reported state is no longer relied on. */
	private static final long STALE_AFTER_MILLIS = 5000;

	/** Weight of the decode time in the cost of requests that prefer an early start. */
	private static final double DECODE_WEIGHT = 0.1;

	private final BackendServer server;

	/**
	 * Age in milliseconds at which a stated load is worth nothing, as it changes many
	 * times a second. Until then its weight declines evenly.
	 */
	private static final long STATED_LOAD_MILLIS = 300;

	private double networkMillis;

	private ReplyTime replyTime = ReplyTime.create();

	private @Nullable DaemonId owner;

	private ServerState state;

	private long stateReceivedAt;

	private @Nullable StatedLoad statedLoad;

	private long loadStatedAt;

	private int pendingPermitRequests;

	private double pendingPrefillMillis;

	private ServerView(BackendServer server) {
		this.server = server;
		this.state = new ServerState(server.id(), 0, 0, server.nominalConcurrency(), false, false, false, 0, 0,
				Speed.UNKNOWN);
	}

	/**
	 * Returns a view of an idle backend server without an owner, whose speed is unknown.
	 * @param server the backend server
	 * @return the view
	 */
	public static ServerView of(BackendServer server) {
		Objects.requireNonNull(server, "server must not be null");
		return new ServerView(server);
	}

	/**
	 * Returns the backend server.
	 * @return the backend server, as configured
	 */
	public BackendServer server() {
		return this.server;
	}

	/**
	 * Returns the daemon that grants permits for this backend server.
	 * @return the owner, or {@code null} if no daemon can own it
	 */
	public @Nullable DaemonId owner() {
		return this.owner;
	}

	/**
	 * Sets the owner daemon.
	 * @param newOwner the owner, or {@code null} if no daemon can own it
	 * @param newNetworkMillis network time in milliseconds that the owner and the backend
	 * server add to a request
	 * @param newReplyTime how soon the owner replies
	 */
	public void setOwner(@Nullable DaemonId newOwner, double newNetworkMillis, ReplyTime newReplyTime) {
		this.owner = newOwner;
		this.networkMillis = newNetworkMillis;
		this.replyTime = newReplyTime;
	}

	/**
	 * Returns how soon the owner replies to permit requests.
	 * @return the estimate, shared by the views of all backend servers of that owner
	 */
	public ReplyTime replyTime() {
		return this.replyTime;
	}

	/**
	 * Returns the last reported state; an idle one before the first report.
	 * @return the state
	 */
	public ServerState state() {
		return this.state;
	}

	/**
	 * Returns the share of permit requests to send to the owner.
	 * @param now the current time
	 * @return the share that the owner asked for; it approaches 1 as that becomes old
	 */
	public double requestShare(long now) {
		double age = Math.min(1, (double) (now - this.stateReceivedAt) / STALE_AFTER_MILLIS);
		return this.state.requestShare() + (1 - this.state.requestShare()) * age;
	}

	/**
	 * Replaces the state by a newer one.
	 * @param newState the state
	 * @param now the current time
	 */
	public void update(ServerState newState, long now) {
		this.state = newState;
		this.stateReceivedAt = now;
	}

	/**
	 * Records the load that the backend server stated in a response to this daemon.
	 * @param load the load
	 * @param now the current time
	 */
	public void recordStatedLoad(StatedLoad load, long now) {
		this.statedLoad = load;
		this.loadStatedAt = now;
	}

	private double workFactor(long now) {
		StatedLoad load = this.statedLoad;
		long age = now - this.loadStatedAt;
		if (load == null || age >= STATED_LOAD_MILLIS) {
			return 1;
		}
		return 1 + (load.workFactor() - 1) * (STATED_LOAD_MILLIS - age) / STATED_LOAD_MILLIS;
	}

	/**
	 * Records that this entry has requested a permit and waits for the reply.
	 * @param promptTokens prompt tokens of the request
	 */
	public void permitRequested(int promptTokens) {
		this.pendingPermitRequests++;
		this.pendingPrefillMillis += promptTokens * this.state.speed().prefillMillisPerToken();
	}

	/**
	 * Records that a permit request was answered, or that the entry no longer waits for
	 * the reply.
	 * @param promptTokens prompt tokens of the request
	 */
	public void permitRequestEnded(int promptTokens) {
		this.pendingPermitRequests = Math.max(0, this.pendingPermitRequests - 1);
		this.pendingPrefillMillis = (this.pendingPermitRequests == 0) ? 0
				: Math.max(0, this.pendingPrefillMillis - promptTokens * this.state.speed().prefillMillisPerToken());
	}

	/**
	 * Returns whether the backend server seems to have room for one more request below
	 * the top tier. A stale state counts as having room.
	 * @param now the current time
	 * @return whether neither the limit of concurrent requests nor that of their rate is
	 * known to be reached
	 */
	public boolean hasRoom(long now) {
		return isStale(now) || (this.state.running() + this.pendingPermitRequests < this.state.limit()
				&& startWaitMillis(now) == 0);
	}

	/**
	 * Returns whether a probe is due: the backend server is isolated, this entry has no
	 * permit request pending for it, and the state reports a due probe or is stale.
	 * @param now the current time
	 * @return whether one request may be sent to it as a probe
	 */
	public boolean isProbeDue(long now) {
		return this.state.isolated() && this.pendingPermitRequests == 0 && (this.state.probeDue() || isStale(now));
	}

	private boolean isStale(long now) {
		return now - this.stateReceivedAt > STALE_AFTER_MILLIS;
	}

	/**
	 * Predicts when a request would finish.
	 * @param request the request
	 * @param hitRatio share of the prompt's tokens that is expected to be cached on this
	 * backend server
	 * @param now the current time
	 * @return milliseconds from now
	 */
	public double finishMillis(RoutingRequest request, double hitRatio, long now) {
		return finishMillis(request, hitRatio, this.state.running() + this.pendingPermitRequests + 1, now);
	}

	/**
	 * Returns whether a request is expected to finish before its deadline even if the
	 * backend server reaches its limit meanwhile. A top-tier request also needs a free
	 * place within the nominal concurrency, so that no running request is preempted for
	 * it.
	 * @param request the request
	 * @param hitRatio share of the prompt's tokens that is expected to be cached on this
	 * backend server
	 * @param now the current time
	 * @return whether the backend server is suitable
	 */
	public boolean suits(RoutingRequest request, double hitRatio, long now) {
		int running = this.state.running() + this.pendingPermitRequests;
		if (request.topTier() && running >= this.server.nominalConcurrency()) {
			return false;
		}
		int fullConcurrency = Math.max(running + 1, this.state.limit());
		return finishMillis(request, hitRatio, fullConcurrency, now) < request.remainingMillis();
	}

	/**
	 * Returns the cost of running a request here, by which backend servers are compared.
	 * @param request the request
	 * @param hitRatio share of the prompt's tokens that is expected to be cached on this
	 * backend server
	 * @param now the current time
	 * @return milliseconds until the predicted finish, with a reduced weight on the
	 * decode time if the request prefers an early start; lower is better
	 */
	public double costMillis(RoutingRequest request, double hitRatio, long now) {
		double finishMillis = finishMillis(request, hitRatio, now);
		if (!request.prefersEarlyStart() || request.estimate().total() == 0) {
			return finishMillis;
		}
		int concurrency = this.state.running() + this.pendingPermitRequests + 1;
		double decodeMillis = this.state.speed().decodeMillis(request.estimate().answer(), concurrency);
		return finishMillis - (1 - DECODE_WEIGHT) * decodeMillis;
	}

	private double finishMillis(RoutingRequest request, double hitRatio, int concurrency, long now) {
		ServerState current = this.state;
		TokenEstimate estimate = request.estimate();
		int running = current.running() + this.pendingPermitRequests;
		double runMillis = (estimate.total() == 0) ? current.serviceMillis()
				: current.speed().prefillMillis(estimate.prompt() * (1 - hitRatio))
						+ current.speed().decodeMillis(estimate.answer(), concurrency);
		double backlogMillis = Math.max(0, current.prefillBacklogMillis() - (now - this.stateReceivedAt));
		double waitMillis = Math.max(waitMillis(running, request.topTier()), startWaitMillis(now));
		return this.networkMillis + this.replyTime.expectedMillis(now) + waitMillis + backlogMillis
				+ this.pendingPrefillMillis + runMillis * workFactor(now);
	}

	private double startWaitMillis(long now) {
		return this.state.startRate().waitMillis(this.pendingPermitRequests, now - this.stateReceivedAt);
	}

	private double waitMillis(int running, boolean top) {
		ServerState current = this.state;
		if (running < current.limit() || (top && current.lowerTierRunning())) {
			return 0;
		}
		int ahead = running - current.limit() + current.waiting() + 1;
		return (double) ahead * current.serviceMillis() / current.limit();
	}

}
