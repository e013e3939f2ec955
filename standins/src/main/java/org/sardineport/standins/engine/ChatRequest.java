package org.sardineport.standins.engine;

import java.io.IOException;

import com.fasterxml.jackson.annotation.JsonAlias;
import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.jspecify.annotations.Nullable;

/**
 * Fields of a chat completion request that the fakes evaluate. Component names are part
 * of the HTTP protocol.
 *
 * @param user tag that the response repeats, so that tests can tell responses apart
 * @param stream whether the response is sent as server-sent events
 * @param maximumTokens length of the response, in tokens
 */
@JsonIgnoreProperties(ignoreUnknown = true)
record ChatRequest(@Nullable String user, boolean stream, @JsonAlias("max_tokens") int maximumTokens) {

	private static final ObjectMapper JSON = new ObjectMapper();

	private static final String DEFAULT_TAG = "token";

	private static final int DEFAULT_TOKENS = 16;

	String tag() {
		return (this.user != null) ? this.user : DEFAULT_TAG;
	}

	static ChatRequest parse(byte[] body) throws IOException {
		ChatRequest parsed = JSON.readValue(body, ChatRequest.class);
		int tokens = (parsed.maximumTokens > 0) ? parsed.maximumTokens : DEFAULT_TOKENS;
		return new ChatRequest(parsed.user, parsed.stream, tokens);
	}

}
