package org.sardineport.core.routing;

import java.util.Objects;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.backend.BackendServer;
import org.sardineport.core.identity.DaemonId;
import org.sardineport.core.request.TokenEstimate;

/**
 * A backend server as an entry sees it: the state its owner told last, corrected by what
 * the entry has asked for since. Times are milliseconds of one clock. Not safe for use by
 * several threads.
 */
public final class ServerView {

	/** Age from which a state says little, in milliseconds. */
	private static final long OLD_MILLIS = 5000;

	/** Weight of the time from start to finish where callers mind the start. */
	private static final double DECODE_WEIGHT = 0.1;

	private final BackendServer server;

	private double networkMillis;

	private @Nullable DaemonId owner;

	private ServerState state;

	private long stateAt;

	private int pendingAsks;

	private double pendingPrefillMillis;

	private ServerView(BackendServer server) {
		this.server = server;
		this.state = new ServerState(server.id(), 0, 0, server.nominalConcurrency(), false, false, false, 0, 0,
				Speed.UNKNOWN);
	}

	/**
	 * Returns a view of a backend server of which nothing is known.
	 * @param server the backend server
	 * @return the view
	 */
	public static ServerView of(BackendServer server) {
		Objects.requireNonNull(server, "server must not be null");
		return new ServerView(server);
	}

	/**
	 * Returns the backend server.
	 * @return the backend server
	 */
	public BackendServer server() {
		return this.server;
	}

	/**
	 * Returns the daemon that grants its permits.
	 * @return the owner, or {@code null} if no daemon can own it
	 */
	public @Nullable DaemonId owner() {
		return this.owner;
	}

	/**
	 * Changes the owner.
	 * @param newOwner the owner, or {@code null}
	 * @param newNetworkMillis time that a request loses on the way to both
	 */
	public void ownedBy(@Nullable DaemonId newOwner, double newNetworkMillis) {
		this.owner = newOwner;
		this.networkMillis = newNetworkMillis;
	}

	/**
	 * Returns the state heard last.
	 * @return the state
	 */
	public ServerState state() {
		return this.state;
	}

	/**
	 * Takes a newer state.
	 * @param newState the state
	 * @param now the current time
	 */
	public void update(ServerState newState, long now) {
		this.state = newState;
		this.stateAt = now;
	}

	/**
	 * Counts a request for a permit that is not answered yet.
	 * @param promptTokens tokens of its prompt
	 */
	public void asked(int promptTokens) {
		this.pendingAsks++;
		this.pendingPrefillMillis += promptTokens * this.state.speed().prefillMillisPerToken();
	}

	/**
	 * Counts the answer to a request for a permit, or that none is waited for any more.
	 * @param promptTokens tokens of its prompt
	 */
	public void answered(int promptTokens) {
		this.pendingAsks = Math.max(0, this.pendingAsks - 1);
		this.pendingPrefillMillis = (this.pendingAsks == 0) ? 0
				: Math.max(0, this.pendingPrefillMillis - promptTokens * this.state.speed().prefillMillisPerToken());
	}

	/**
	 * Returns whether it seems to have room for one more request below the top tier. What
	 * was heard long ago is not held against it.
	 * @param now the current time
	 * @return whether its limit is not known to be reached
	 */
	public boolean hasRoom(long now) {
		return isOld(now) || this.state.running() + this.pendingAsks < this.state.limit();
	}

	/**
	 * Returns whether a probe is due, as it is isolated and nothing else is known of
	 * late.
	 * @param now the current time
	 * @return whether one request may be sent there to see how it does
	 */
	public boolean isProbeDue(long now) {
		return this.state.isolated() && this.pendingAsks == 0 && (this.state.probeDue() || isOld(now));
	}

	private boolean isOld(long now) {
		return now - this.stateAt > OLD_MILLIS;
	}

	/**
	 * Predicts when a request would be finished.
	 * @param request the request
	 * @param cachedShare share of its prompt that is expected to be cached there
	 * @param now the current time
	 * @return milliseconds from now
	 */
	public double finishMillis(RoutingRequest request, double cachedShare, long now) {
		return finishMillis(request, cachedShare, this.state.running() + this.pendingAsks + 1, now);
	}

	/**
	 * Returns whether a request would be finished in time without harm to others: also if
	 * the backend server becomes full meanwhile, and without a preemption.
	 * @param request the request
	 * @param cachedShare share of its prompt that is expected to be cached there
	 * @param now the current time
	 * @return whether it suits
	 */
	public boolean suits(RoutingRequest request, double cachedShare, long now) {
		int running = this.state.running() + this.pendingAsks;
		if (request.top() && running >= this.server.nominalConcurrency()) {
			return false;
		}
		int full = Math.max(running + 1, this.state.limit());
		return finishMillis(request, cachedShare, full, now) < request.remainingMillis();
	}

	/**
	 * Rates a backend server for a request, for comparison with others.
	 * @param request the request
	 * @param cachedShare share of its prompt that is expected to be cached there
	 * @param now the current time
	 * @return milliseconds until the finish, or mostly those until the start where the
	 * caller minds that more; less is better
	 */
	public double costMillis(RoutingRequest request, double cachedShare, long now) {
		double finish = finishMillis(request, cachedShare, now);
		if (!request.prefersEarlyStart() || request.estimate().total() == 0) {
			return finish;
		}
		int beside = this.state.running() + this.pendingAsks + 1;
		double decode = this.state.speed().decodeMillis(request.estimate().answer(), beside);
		return finish - (1 - DECODE_WEIGHT) * decode;
	}

	private double finishMillis(RoutingRequest request, double cachedShare, int beside, long now) {
		ServerState current = this.state;
		TokenEstimate estimate = request.estimate();
		int running = current.running() + this.pendingAsks;
		double run = (estimate.total() == 0) ? current.serviceMillis()
				: current.speed().prefillMillis(estimate.prompt() * (1 - cachedShare))
						+ current.speed().decodeMillis(estimate.answer(), beside);
		double backlog = Math.max(0, current.prefillBacklogMillis() - (now - this.stateAt));
		return this.networkMillis + waitMillis(running, request.top()) + backlog + this.pendingPrefillMillis + run;
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
