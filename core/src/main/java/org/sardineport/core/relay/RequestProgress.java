package org.sardineport.core.relay;

import java.util.HashSet;
import java.util.Objects;
import java.util.Set;

import org.sardineport.core.identity.BackendServerId;

/**
 * Tracks the attempts of one caller's request and decides whether it may be attempted
 * again. Not thread-safe.
 */
public final class RequestProgress {

	private final RerunPolicy rerunPolicy;

	private final int maximumAttempts;

	private final Set<BackendServerId> failedOn = new HashSet<>();

	private final Set<BackendServerId> silentOn = new HashSet<>();

	private int attempts;

	private boolean mayHaveRun;

	private boolean responseStarted;

	private RequestProgress(RerunPolicy repetition, int maximumAttempts) {
		this.rerunPolicy = Objects.requireNonNull(repetition, "repetition must not be null");
		this.maximumAttempts = maximumAttempts;
	}

	/**
	 * Returns the progress of a request that has not been sent yet.
	 * @param route the request's route, which limits the attempts
	 * @return the progress
	 */
	public static RequestProgress of(RelayRoute route) {
		return new RequestProgress(route.rerunPolicy(), route.maximumAttempts());
	}

	/**
	 * Records that the request is about to be sent to a backend server.
	 */
	public void sent() {
		this.attempts++;
	}

	/**
	 * Records that the caller is about to receive the first part of the response.
	 */
	public void responseStarted() {
		this.responseStarted = true;
	}

	/**
	 * Records that a backend server sends nothing though it may run the request. No other
	 * attempt is made there; the one that it runs goes on.
	 * @param server the backend server
	 */
	public void silent(BackendServerId server) {
		this.failedOn.add(server);
		this.silentOn.add(server);
	}

	/**
	 * Records how an attempt ended. An attempt that could not connect does not count.
	 * @param server the backend server of the attempt
	 * @param end how the attempt ended
	 */
	public void ended(BackendServerId server, AttemptEnd end) {
		this.failedOn.add(server);
		this.silentOn.remove(server);
		this.mayHaveRun |= end.mayHaveRun();
		if (end == AttemptEnd.NOT_CONNECTED) {
			this.attempts--;
		}
	}

	/**
	 * Returns whether the request may be sent to another backend server.
	 * @return {@code true} if attempts remain and another run is allowed or no run can
	 * have started
	 */
	public boolean mayRetry() {
		return this.attempts < this.maximumAttempts
				&& (!mayHaveRun() || this.rerunPolicy.allowsRerun(this.responseStarted));
	}

	/**
	 * Returns whether another attempt may be made beside one that has not ended.
	 * @return {@code true} if attempts remain and the request may run again
	 */
	public boolean mayReplaceAttempt() {
		return this.attempts < this.maximumAttempts && this.rerunPolicy.allowsRerun(this.responseStarted);
	}

	/**
	 * Returns whether the request may have run in any attempt that has ended or is
	 * silent.
	 * @return {@code false} only if the request is known not to have run
	 */
	public boolean mayHaveRun() {
		return this.mayHaveRun || !this.silentOn.isEmpty();
	}

	/**
	 * Returns whether the caller has received part of the response.
	 * @return {@code true} once the first part is about to be sent to the caller
	 */
	public boolean isResponseStarted() {
		return this.responseStarted;
	}

	/**
	 * Returns how often the request was sent to a backend server.
	 * @return the number of attempts, without those that could not connect
	 */
	public int attempts() {
		return this.attempts;
	}

	/**
	 * Returns the backend servers on which an attempt failed or is silent.
	 * @return a copy of the set
	 */
	public Set<BackendServerId> failedOn() {
		return Set.copyOf(this.failedOn);
	}

}
