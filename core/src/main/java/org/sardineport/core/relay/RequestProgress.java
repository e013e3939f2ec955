package org.sardineport.core.relay;

import java.util.HashSet;
import java.util.Objects;
import java.util.Set;

import org.sardineport.core.identity.BackendServerId;

/**
 * How far one caller's request has come, and what may still be done with it. Not safe for
 * use by several threads.
 */
public final class RequestProgress {

	private final Repetition repetition;

	private final int maximumAttempts;

	private final Set<BackendServerId> failedOn = new HashSet<>();

	private int attempts;

	private boolean mayHaveRun;

	private boolean answerBegun;

	private RequestProgress(Repetition repetition, int maximumAttempts) {
		this.repetition = Objects.requireNonNull(repetition, "repetition must not be null");
		this.maximumAttempts = maximumAttempts;
	}

	/**
	 * Returns the progress of a request that was not sent yet.
	 * @param route the request's route
	 * @return the progress
	 */
	public static RequestProgress of(RelayRoute route) {
		return new RequestProgress(route.repetition(), route.maximumAttempts());
	}

	/**
	 * Notes that the request is about to be sent to a backend server.
	 */
	public void sent() {
		this.attempts++;
	}

	/**
	 * Notes that the caller is about to receive a part of the answer.
	 */
	public void answerBegun() {
		this.answerBegun = true;
	}

	/**
	 * Notes how the last attempt ended.
	 * @param server the backend server
	 * @param end how it ended
	 */
	public void ended(BackendServerId server, AttemptEnd end) {
		this.failedOn.add(server);
		this.mayHaveRun |= end.mayHaveRun();
		if (end == AttemptEnd.NOT_CONNECTED) {
			this.attempts--;
		}
	}

	/**
	 * Returns whether the request may be sent to another backend server.
	 * @return whether a further attempt breaks no promise
	 */
	public boolean mayTryAgain() {
		return this.attempts < this.maximumAttempts
				&& (!this.mayHaveRun || this.repetition.mayRunAgain(this.answerBegun));
	}

	/**
	 * Returns whether a further attempt would be allowed after the one under way, if it
	 * were given up now.
	 * @return whether it may be given up for another
	 */
	public boolean mayGiveUpAttempt() {
		return this.attempts < this.maximumAttempts && this.repetition.mayRunAgain(this.answerBegun);
	}

	/**
	 * Returns whether the request may have run.
	 * @return whether it is not known that it did not
	 */
	public boolean mayHaveRun() {
		return this.mayHaveRun;
	}

	/**
	 * Returns whether the caller has received a part of the answer.
	 * @return whether the answer has begun
	 */
	public boolean isAnswerBegun() {
		return this.answerBegun;
	}

	/**
	 * Returns how often the request was sent to a backend server.
	 * @return the number
	 */
	public int attempts() {
		return this.attempts;
	}

	/**
	 * Returns the backend servers on which it failed.
	 * @return a copy of their names
	 */
	public Set<BackendServerId> failedOn() {
		return Set.copyOf(this.failedOn);
	}

}
