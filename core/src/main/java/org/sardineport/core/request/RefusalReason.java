package org.sardineport.core.request;

import java.util.Locale;

/**
 * Why a request got a problem document instead of a backend server's response. Each
 * reason determines the HTTP status, the outcome reported to the caller, and the remedy.
 */
public enum RefusalReason {

	/** A required header is missing. */
	MISSING_HEADER(400, Outcome.NOT_RUN, "Send the headers that the detail names."),

	/** A header has an invalid value. */
	INVALID_HEADER(400, Outcome.NOT_RUN, "Correct the header that the detail names."),

	/** The body exceeds the route's limit. */
	BODY_TOO_LARGE(413, Outcome.NOT_RUN, "Send a smaller body, or ask the operators to raise the route's limit."),

	/** The caller did not send its body within the time limit. */
	BODY_TOO_SLOW(408, Outcome.NOT_RUN, "Send the whole body within the time limit."),

	/** No profile with the given name is in force. */
	UNKNOWN_PROFILE(404, Outcome.NOT_RUN, "Use the name of a published profile."),

	/** The profile does not contain the organisation. */
	UNKNOWN_ORGANISATION(403, Outcome.NOT_RUN, "Ask the operators to add the organisation to the profile."),

	/** The organisation's token is missing or wrong. */
	UNAUTHORIZED(401, Outcome.NOT_RUN, "Send one of the organisation's tokens as a bearer token."),

	/** The profile has no route for the method and path. */
	NO_ROUTE(404, Outcome.NOT_RUN, "Use a method and path that the profile lists."),

	/** A non-idempotent request was sent without a key. */
	KEY_REQUIRED(400, Outcome.NOT_RUN, "Send an Idempotency-Key, a UUID version 7 made for this request."),

	/** The key is not well-formed. */
	KEY_INVALID(400, Outcome.NOT_RUN, "Send a UUID version 7, or any other key together with Sardineport-Issued-At."),

	/** The key was issued before the start of the replay window, or in the future. */
	KEY_OUT_OF_WINDOW(422, Outcome.NOT_RUN, "Make a new key, after a check that the old request did not run."),

	/** The key was already used with a different request. */
	KEY_REUSED(422, Outcome.NOT_RUN, "Make a new key for each different request."),

	/** The journal has not been replayed yet, or its log service is unavailable. */
	JOURNAL_UNAVAILABLE(503, Outcome.NOT_RUN, "Send the request again with the same key."),

	/** The journal's append budget is exhausted. */
	JOURNAL_BUSY(503, Outcome.NOT_RUN, "Send the request again with the same key after the given time."),

	/** The journal could not determine in time whether the request may run. */
	JOURNAL_UNSETTLED(504, Outcome.UNKNOWN, "Ask for the state of the key before sending again."),

	/** The organisation has exhausted its limit. */
	ORGANISATION_LIMIT(429, Outcome.NOT_RUN, "Send again after the given time, or ask the operators for more."),

	/** More urgent work leaves no capacity for this tier. */
	OVERLOADED(503, Outcome.NOT_RUN, "Send again after the given time."),

	/** The request cannot finish before its deadline. */
	DEADLINE_UNREACHABLE(503, Outcome.NOT_RUN, "Allow more time, or send again after the given time."),

	/** The deadline passed while the request was queued. */
	DEADLINE_PASSED(504, Outcome.NOT_RUN, "Send again after the given time."),

	/** No backend server of the pool is available. */
	NO_BACKEND_SERVER(503, Outcome.NOT_RUN, "Send again after the given time; operators see the pool in status."),

	/**
	 * The software version that began a resumed stream is not known, so that no backend
	 * server is known to continue it.
	 */
	STREAM_VERSION_UNKNOWN(503, Outcome.NOT_RUN,
			"Send again after the given time, or without the last event to begin a new stream."),

	/** A ring buffer between two event loops is full. */
	RING_FULL(503, Outcome.NOT_RUN, "Send to another entry address."),

	/**
	 * Equal requests, or requests that share a part of the prompt, crashed the backend
	 * servers that ran them.
	 */
	QUARANTINED(422, Outcome.NOT_RUN,
			"Change the request or the shared parts of its prompt; backend servers crash under it."),

	/**
	 * The daemon is stopping and the time for which it keeps serving its address has
	 * passed.
	 */
	STOPPING(503, Outcome.NOT_RUN, "Use another address from the entry list."),

	/** The daemon is short of processor time. */
	DAEMON_OVERLOADED(503, Outcome.NOT_RUN, "Send again after the given time, or to another entry address."),

	/** The daemon is not ready to serve. */
	NOT_READY(503, Outcome.NOT_RUN, "Use another address from the entry list."),

	/** The retry budget is exhausted. */
	RETRY_BUDGET_SPENT(503, Outcome.NOT_RUN, "Send again after the given time."),

	/** No connection to the backend server could be established. */
	BACKEND_UNREACHABLE(502, Outcome.NOT_RUN, "Send again after the given time."),

	/** The backend server failed after the request was dispatched. */
	BACKEND_FAILED(502, Outcome.UNKNOWN, "Check whether the request took effect before sending it again."),

	/** The response ended before its terminator. */
	ANSWER_TRUNCATED(502, Outcome.UNKNOWN, "Discard the partial answer."),

	/**
	 * A keyed request has already run to completion, and its response is no longer
	 * stored.
	 */
	ANSWER_NOT_KEPT(410, Outcome.COMPLETED, "Do not send the request again; it has run to its end."),
	/** The backend server did not respond before the deadline. */
	BACKEND_TIMEOUT(504, Outcome.UNKNOWN, "Check whether the request took effect before sending it again."),

	/** The run was cancelled to make room for the top tier. */
	PREEMPTED(503, Outcome.UNKNOWN, "Send again after the given time."),

	/** The caller disconnected before the response started. */
	CALLER_GONE(499, Outcome.NOT_RUN, "Keep the connection open until the answer has come.");

	private final int status;

	private final Outcome outcome;

	private final String remedy;

	RefusalReason(int status, Outcome outcome, String remedy) {
		this.status = status;
		this.outcome = outcome;
		this.remedy = remedy;
	}

	/**
	 * Returns the HTTP status of the refusal.
	 * @return the status code, 4xx or 5xx
	 */
	public int status() {
		return this.status;
	}

	/**
	 * Returns the outcome that is usually reported to the caller.
	 * @return the outcome
	 */
	public Outcome outcome() {
		return this.outcome;
	}

	/**
	 * Returns what the caller can do about the refusal.
	 * @return one sentence
	 */
	public String remedy() {
		return this.remedy;
	}

	/**
	 * Returns the name used in problem documents, metrics and logs.
	 * @return the name in lower case with dashes
	 */
	public String label() {
		return name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

}
