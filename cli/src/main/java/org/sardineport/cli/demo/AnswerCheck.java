package org.sardineport.cli.demo;

import java.io.IOException;
import java.time.Duration;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * Tells whether an answer is the whole answer to its request.
 */
final class AnswerCheck {

	private static final ObjectMapper JSON = new ObjectMapper();

	private static final int FIRST_REFUSAL = 400;

	private static final String FINAL_EVENT = "data: [DONE]\n\n";

	private AnswerCheck() {
	}

	static CallResult check(WorkItem item, int status, String body, boolean complete, Duration latency) {
		if (status >= FIRST_REFUSAL) {
			return refusal(item, body, latency);
		}
		if (!complete) {
			boolean noticed = body.contains("event: error\n");
			return new CallResult(item, (noticed) ? CallResult.Ending.BROKEN_OFF : CallResult.Ending.CUT_OFF,
					(noticed) ? kindOfNotice(body) : "no end mark", latency);
		}
		boolean whole = (item.kind().isGenerated()) ? isWholeStream(item, body) : body.contains(item.key());
		return new CallResult(item, (whole) ? CallResult.Ending.WHOLE : CallResult.Ending.WRONG, "", latency);
	}

	private static CallResult refusal(WorkItem item, String body, Duration latency) {
		try {
			JsonNode problem = JSON.readTree(body);
			String outcome = problem.path("outcome").asText();
			return new CallResult(item,
					(outcome.equals("not-run")) ? CallResult.Ending.NOT_RUN : CallResult.Ending.UNKNOWN,
					problem.path("kind").asText() + "/" + outcome, latency);
		}
		catch (IOException ex) {
			return new CallResult(item, CallResult.Ending.WRONG, "refusal without problem document", latency);
		}
	}

	private static boolean isWholeStream(WorkItem item, String body) {
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

	private static String kindOfNotice(String body) {
		int kind = body.indexOf("\"kind\":\"") + "\"kind\":\"".length();
		return body.substring(kind, Math.max(kind, body.indexOf('"', kind)));
	}

}
