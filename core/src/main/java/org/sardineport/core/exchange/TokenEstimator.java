package org.sardineport.core.exchange;

import java.nio.charset.StandardCharsets;
import java.util.List;

import org.sardineport.core.request.TokenEstimate;

/**
 * Estimates the size of requests in the format of the OpenAI API, without parsing their
 * bodies completely.
 */
public final class TokenEstimator {

	private static final int BYTES_PER_TOKEN = 4;

	private static final List<byte[]> LIMIT_FIELDS = List.of(
			"\"max_completion_tokens\"".getBytes(StandardCharsets.US_ASCII),
			"\"max_tokens\"".getBytes(StandardCharsets.US_ASCII));

	private TokenEstimator() {
	}

	/**
	 * Returns the estimate for a body: four bytes for each token of the prompt, and the
	 * limit given in the body for the response.
	 * @param body body of the request
	 * @param defaultAnswerTokens tokens of a response if the body gives no limit; 0 for
	 * plain services, whose estimate is {@link TokenEstimate#NONE}
	 * @return the estimate
	 */
	public static TokenEstimate estimate(byte[] body, int defaultAnswerTokens) {
		if (defaultAnswerTokens == 0) {
			return TokenEstimate.NONE;
		}
		int prompt = Math.max(1, body.length / BYTES_PER_TOKEN);
		int limit = answerLimit(body);
		return TokenEstimate.of(prompt, (limit > 0) ? limit : defaultAnswerTokens);
	}

	private static int answerLimit(byte[] body) {
		for (byte[] field : LIMIT_FIELDS) {
			int limit = JsonNumbers.firstPositive(body, body.length, field);
			if (limit > 0) {
				return limit;
			}
		}
		return 0;
	}

}
