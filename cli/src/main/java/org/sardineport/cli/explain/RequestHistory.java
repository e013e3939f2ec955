package org.sardineport.cli.explain;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;

/**
 * The logged events of one request, ordered by time. Immutable.
 */
public final class RequestHistory {

	private static final String REFUSED = "request.refused";

	private static final String ANSWERED = "request.answered";

	private static final String CALLER_LEFT = "request.caller-left";

	private static final String DISPATCHED = "request.dispatched";

	private static final String ATTEMPT_ENDED = "request.attempt-ended";

	private final String requestId;

	private final List<LoggedEvent> events;

	private RequestHistory(String requestId, List<LoggedEvent> events) {
		this.requestId = requestId;
		this.events = events;
	}

	/**
	 * Collects the events of a request from log lines.
	 * @param requestId id of the request
	 * @param lines log lines of any daemons, in any order
	 * @return the history
	 */
	public static RequestHistory fromLogs(String requestId, Iterable<String> lines) {
		Objects.requireNonNull(requestId, "requestId must not be null");
		List<LoggedEvent> found = new ArrayList<>();
		for (String line : lines) {
			if (line.contains(requestId)) {
				LoggedEvent.parse(line)
					.filter((event) -> event.field("request").equals(requestId))
					.ifPresent(found::add);
			}
		}
		found.sort(Comparator.comparing((event) -> event.field("time")));
		return new RequestHistory(requestId, found);
	}

	/**
	 * Returns whether the logs contain an event of the request.
	 * @return whether there is at least one event
	 */
	public boolean isKnown() {
		return !this.events.isEmpty();
	}

	/**
	 * Formats the history as text.
	 * @return one line for each event, a line with the cause of the outcome, and a line
	 * about the missing final event if there is none
	 */
	public List<String> lines() {
		List<String> lines = new ArrayList<>();
		this.events.forEach((event) -> lines.add(event.field("time") + "  " + describe(event)));
		lines.add("cause: " + cause());
		if (!isEnded()) {
			lines.add("missing: no final response is logged; check whether the daemon exited, and its last log lines.");
		}
		return lines;
	}

	private static String describe(LoggedEvent event) {
		return switch (event.name()) {
			case DISPATCHED -> "sent to %s as attempt %s of tier %s, after a wait of %s ms, under configuration %s"
				.formatted(event.field("backend-server"), event.field("attempt"), event.field("tier"),
						event.field("waited-ms"), event.field("version"));
			case ATTEMPT_ENDED -> "attempt at %s ended: %s (%s); tried again: %s".formatted(
					event.field("backend-server"), event.field("end"), event.field("detail"), event.field("again"));
			case REFUSED -> "refused after %s attempts as %s: %s".formatted(event.field("attempts"),
					event.field("kind"), event.field("detail"));
			case ANSWERED -> "answered with status %s after %s ms and %s attempts%s".formatted(event.field("status"),
					event.field("age-ms"), event.field("attempts"), endOfResponse(event));
			case CALLER_LEFT -> "caller left after %s ms".formatted(event.field("age-ms"));
			default -> event.name();
		};
	}

	// Lines of earlier builds do not say how a response ended.
	private static String endOfResponse(LoggedEvent event) {
		return event.field("framing").isEmpty() ? "" : ", framing %s, %s events up to %s"
			.formatted(event.field("framing"), event.field("events"), event.field("last-event"));
	}

	private boolean isEnded() {
		return this.events.stream().anyMatch((event) -> List.of(REFUSED, ANSWERED, CALLER_LEFT).contains(event.name()));
	}

	private String cause() {
		if (this.events.isEmpty()) {
			return "unknown: no event of request " + this.requestId;
		}
		LoggedEvent last = this.events.get(this.events.size() - 1);
		return switch (last.name()) {
			case ANSWERED -> "none: the caller was answered";
			case CALLER_LEFT -> "the caller closed its connection";
			case REFUSED -> causeOfRefusal(last);
			case DISPATCHED -> "the response of " + last.field("backend-server") + " is not logged";
			default -> last.field("detail");
		};
	}

	private static String causeOfRefusal(LoggedEvent refusal) {
		return switch (refusal.field("kind")) {
			case "not-ready" -> "the configuration was last read %s ms before: see configuration.unreachable"
				.formatted(refusal.field("proof-age-ms"));
			case "unauthorized" -> "the key is not in configuration " + refusal.field("version");
			case "no-route" -> "no route of configuration " + refusal.field("version") + " matches";
			case "organisation-limit" -> "the organisation used up its limit over the whole fleet";
			case "overloaded", "retry-budget-spent", "deadline-unreachable", "deadline-passed" ->
				"no backend server had room while the caller waited";
			case "no-backend-server" -> "no healthy backend server of the pool was listed";
			case "backend-timeout" -> "the backend server was silent until the time limit; whether it ran is not known";
			case "backend-failed" ->
				"the backend server failed after the request was sent; whether it ran is not known";
			default -> refusal.field("detail");
		};
	}

}
