package org.sardineport.core.relay;

import java.time.Duration;
import java.util.Set;

import org.jspecify.annotations.Nullable;

/**
 * Head of a backend server's answer, in the terms of this program.
 *
 * @param status HTTP status
 * @param requestId identity of the request that it answers, or {@code null} if it names
 * none
 * @param notExecuted whether the backend server says that it did not run the request
 * @param signed whether it bears the backend server's signature
 * @param encoded whether the body has an encoding that no caller asked for
 * @param events whether the body is a stream of events
 * @param connectionIdle time for which the backend server keeps the connection when it is
 * idle, or {@code null} if it does not say
 */
public record AnswerHead(int status, @Nullable String requestId, boolean notExecuted, boolean signed, boolean encoded,
		boolean events, @Nullable Duration connectionIdle) {

	private static final Set<Integer> NO_RUN_STATUSES = Set.of(408, 421, 429, 503);

	private static final int FIRST_SUCCESS = 200;

	private static final int FIRST_REDIRECT = 300;

	private static final int FIRST_SERVER_FAILURE = 500;

	/**
	 * Returns whether the answer is a success.
	 * @return whether its status says so
	 */
	public boolean isSuccess() {
		return this.status >= FIRST_SUCCESS && this.status < FIRST_REDIRECT;
	}

	/**
	 * Returns whether the backend server failed.
	 * @return whether its status says so
	 */
	public boolean isServerFailure() {
		return this.status >= FIRST_SERVER_FAILURE;
	}

	/**
	 * Returns whether the status tells callers that the request did not run. A backend
	 * server that ran it must not be quoted with such a status.
	 * @return whether callers may repeat any request after it
	 */
	public boolean saysNotRun() {
		return NO_RUN_STATUSES.contains(this.status);
	}

	/**
	 * Returns whether the answer can be passed on as the backend server made it.
	 * @return whether its body is plain and, if it is a success, it is signed
	 */
	public boolean isIntact() {
		return !this.encoded && (!isSuccess() || this.signed);
	}

}
