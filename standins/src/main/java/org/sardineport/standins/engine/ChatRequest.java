package org.sardineport.standins.engine;

import java.io.IOException;

import com.fasterxml.jackson.annotation.JsonAlias;
import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.jspecify.annotations.Nullable;

/**
 * The parts of a chat completion that the stand-in looks at.
 *
 * @param user tag that the answer repeats, so that a test can tell answers apart
 * @param stream whether the answer is a stream of events
 * @param maximumTokens tokens of the answer
 */
@JsonIgnoreProperties(ignoreUnknown = true)
record ChatRequest(@Nullable String user, boolean stream, @JsonAlias("max_tokens") int maximumTokens) {

	private static final ObjectMapper JSON = new ObjectMapper();

	private static final int DEFAULT_TOKENS = 16;

	static ChatRequest parse(byte[] body) throws IOException {
		ChatRequest parsed = JSON.readValue(body, ChatRequest.class);
		int tokens = (parsed.maximumTokens > 0) ? parsed.maximumTokens : DEFAULT_TOKENS;
		return new ChatRequest(parsed.user, parsed.stream, tokens);
	}

}
