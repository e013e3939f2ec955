package org.sardineport.core.relay;

import java.time.Duration;
import java.util.Set;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.capacity.StatedLoad;
import org.sardineport.core.limit.StatedLimits;

/**
 * Head of a backend server's response, independent of the platform's header names.
 *
 * @param status HTTP status
 * @param requestId identity of the request that was answered, or {@code null} if the
 * response names none
 * @param notExecuted whether the backend server states that it did not run the request
 * @param signed whether the response carries the backend server's signature
 * @param encoded whether the body has a content encoding that was not requested
 * @param eventStream whether the body is an event stream
 * @param keepAliveTimeout time for which the backend server keeps an idle connection
 * open, or {@code null} if it is not given
 * @param statedLimits the limits that the backend server states of itself, or
 * {@code null} if the statement cannot be read
 * @param leaving whether the backend server states that it is leaving
 * @param pause time for which the backend server wants no request from this daemon, or
 * {@code null} if it asks for no pause
 * @param statedLoad the load that the backend server states of itself, or {@code null} if
 * it states none that can be read
 */
public record ResponseHead(int status, @Nullable String requestId, boolean notExecuted, boolean signed, boolean encoded,
		boolean eventStream, @Nullable Duration keepAliveTimeout, @Nullable StatedLimits statedLimits, boolean leaving,
		@Nullable Duration pause, @Nullable StatedLoad statedLoad) {

	/** Status of a backend server that is not the one asked. */
	public static final int STATUS_MISDIRECTED = 421;

	private static final Set<Integer> NOT_RUN_STATUSES = Set.of(408, STATUS_MISDIRECTED, 429, 503);

	private static final int MIN_SUCCESS_STATUS = 200;

	private static final int MIN_REDIRECT_STATUS = 300;

	private static final int MIN_SERVER_ERROR_STATUS = 500;

	private static final int END_OF_STATUSES = 600;

	/**
	 * Returns whether the response is a success.
	 * @return {@code true} if the status is 2xx
	 */
	public boolean isSuccess() {
		return this.status >= MIN_SUCCESS_STATUS && this.status < MIN_REDIRECT_STATUS;
	}

	/**
	 * Returns whether the response is a server error.
	 * @return {@code true} if the status is 500 or above
	 */
	public boolean isServerError() {
		return this.status >= MIN_SERVER_ERROR_STATUS;
	}

	/**
	 * Returns whether callers understand the status to mean that the request did not run.
	 * The response of a backend server that ran the request must not be forwarded with
	 * such a status.
	 * @return {@code true} if callers may repeat any request after this status, also a
	 * non-idempotent one
	 */
	public boolean impliesNotRun() {
		return NOT_RUN_STATUSES.contains(this.status);
	}

	/**
	 * Returns whether the response can only come from the backend server that was asked.
	 * @return {@code false} if another one responds that it is not the one asked
	 */
	public boolean isFromServerAsked() {
		return this.status != STATUS_MISDIRECTED;
	}

	/**
	 * Returns whether the response can be forwarded unchanged.
	 * @return {@code true} if the status is a final one, the body has no unrequested
	 * encoding and a successful response is signed
	 */
	public boolean isIntact() {
		return this.status >= MIN_SUCCESS_STATUS && this.status < END_OF_STATUSES && !this.encoded
				&& (!isSuccess() || this.signed);
	}

}
