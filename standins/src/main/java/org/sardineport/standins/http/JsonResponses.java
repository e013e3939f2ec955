package org.sardineport.standins.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerResponse;

/**
 * Writes whole answers.
 */
public final class JsonResponses {

	private static final ObjectMapper JSON = new ObjectMapper();

	private JsonResponses() {
	}

	/**
	 * Answers with a value in JSON.
	 * @param response the response
	 * @param status status code
	 * @param value the value, which Jackson can write
	 */
	public static void json(HttpServerResponse response, int status, Object value) {
		try {
			response.setStatusCode(status).putHeader("Content-Type", "application/json");
			response.end(Buffer.buffer(JSON.writeValueAsBytes(value)));
		}
		catch (JsonProcessingException ex) {
			throw new IllegalArgumentException("value must be writable as JSON", ex);
		}
	}

	/**
	 * Answers with a status alone.
	 * @param response the response
	 * @param status status code
	 */
	public static void status(HttpServerResponse response, int status) {
		response.setStatusCode(status).end();
	}

}
