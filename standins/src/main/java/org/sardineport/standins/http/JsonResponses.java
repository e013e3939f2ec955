package org.sardineport.standins.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerResponse;

/**
 * Static methods that write complete HTTP responses.
 */
public final class JsonResponses {

	private static final ObjectMapper JSON = new ObjectMapper();

	private JsonResponses() {
	}

	/**
	 * Sends a value as JSON and ends the response.
	 * @param response the response
	 * @param status status code
	 * @param value the value
	 * @throws IllegalArgumentException if Jackson cannot write the value
	 */
	public static void json(HttpServerResponse response, int status, Object value) {
		try {
			response.setStatusCode(status).putHeader("Content-Type", "application/json");
			response.end(Buffer.buffer(JSON.writeValueAsBytes(value)));
		}
		catch (JsonProcessingException ex) {
			throw new IllegalArgumentException("value must be serializable as JSON", ex);
		}
	}

	/**
	 * Sends a status without a body and ends the response.
	 * @param response the response
	 * @param status status code
	 */
	public static void status(HttpServerResponse response, int status) {
		response.setStatusCode(status).end();
	}

}
