package org.sardineport.cli.demo;

import java.io.IOException;
import java.time.Duration;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * Determines the outcome of a request from its response: whether the response is
 * complete, belongs to the request, or is a refusal.
 */
final class ResponseCheck {

	private static final ObjectMapper JSON = new ObjectMapper();

	private static final int MIN_REFUSAL_STATUS = 400;

	private static final String FINAL_EVENT = "data: [DONE]\n\n";

	private ResponseCheck() {
	}

	static CallResult check(WorkItem item, int status, String body, boolean complete, Duration latency) {
		if (status >= MIN_REFUSAL_STATUS) {
			return refusal(item, body, latency);
		}
		if (!complete) {
			boolean hasErrorEvent = body.contains("event: error\n");
			return new CallResult(item,
					(hasErrorEvent) ? CallResult.Outcome.ABORTED : CallResult.Outcome.CONNECTION_LOST,
					(hasErrorEvent) ? errorEventKind(body) : "no end mark", latency);
		}
		boolean correct = (item.kind().isGenerated()) ? isCompleteStream(item, body) : body.contains(item.key());
		return new CallResult(item, (correct) ? CallResult.Outcome.COMPLETE : CallResult.Outcome.INCORRECT, "",
				latency);
	}

	private static CallResult refusal(WorkItem item, String body, Duration latency) {
		try {
			JsonNode problem = JSON.readTree(body);
			String problemOutcome = problem.path("outcome").asText();
			return new CallResult(item,
					(problemOutcome.equals("not-run")) ? CallResult.Outcome.NOT_RUN : CallResult.Outcome.UNKNOWN,
					problem.path("kind").asText() + "/" + problemOutcome, latency);
		}
		catch (IOException ex) {
			return new CallResult(item, CallResult.Outcome.INCORRECT, "refusal without problem document", latency);
		}
	}

	private static boolean isCompleteStream(WorkItem item, String body) {
		int tokens = item.kind().answerTokens();
		int found = 0;
		int from = body.indexOf("\"content\":\"");
		while (from >= 0) {
			found++;
			if (!body.startsWith("\"content\":\"%s:%d ".formatted(item.tag(), found), from)) {
				return false;
			}
			from = body.indexOf("\"content\":\"", from + 1);
		}
		return found == tokens && body.endsWith(FINAL_EVENT);
	}

	private static String errorEventKind(String body) {
		int kind = body.indexOf("\"kind\":\"") + "\"kind\":\"".length();
		return body.substring(kind, Math.max(kind, body.indexOf('"', kind)));
	}

}
