package org.sardineport.standins.engine;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerResponse;
import org.jspecify.annotations.Nullable;

/**
 * One stream of a {@link ModelEngineStandIn}: the size of its prompt, and the response as
 * far as it has been generated. The response outlives its connection, so that a caller
 * can resume it. Confined to the Vert.x context of the engine.
 */
final class EngineStream {

	private final String id;

	private final String tag;

	private final boolean streaming;

	private final int promptTokens;

	private final int cachedTokens;

	private final int answerTokens;

	private final Buffer output = Buffer.buffer();

	private @Nullable HttpServerResponse response;

	private int produced;

	private boolean prefilled;

	private boolean ended;

	EngineStream(String id, String tag, boolean streaming, int promptTokens, int cachedTokens, int answerTokens) {
		this.id = id;
		this.tag = tag;
		this.streaming = streaming;
		this.promptTokens = promptTokens;
		this.cachedTokens = cachedTokens;
		this.answerTokens = answerTokens;
	}

	String id() {
		return this.id;
	}

	String tag() {
		return this.tag;
	}

	int promptTokens() {
		return this.promptTokens;
	}

	int cachedTokens() {
		return this.cachedTokens;
	}

	int produced() {
		return this.produced;
	}

	boolean isPrefilled() {
		return this.prefilled;
	}

	boolean isEnded() {
		return this.ended;
	}

	boolean isComplete() {
		return this.produced >= this.answerTokens;
	}

	@Nullable HttpServerResponse response() {
		return this.response;
	}

	void attach(HttpServerResponse newResponse, int fromByte) {
		this.response = newResponse;
		if (this.streaming) {
			newResponse.putHeader("Content-Type", "text/event-stream").setChunked(true).writeHead();
			if (fromByte < this.output.length()) {
				newResponse.write(this.output.getBuffer(fromByte, this.output.length()));
			}
		}
	}

	boolean isWriteQueueFull() {
		return this.response != null && !this.response.closed() && this.response.writeQueueFull();
	}

	void whenDrained(Runnable action) {
		if (this.response != null) {
			this.response.drainHandler((ignored) -> action.run());
		}
	}

	void detach() {
		this.response = null;
	}

	void markPrefilled() {
		this.prefilled = true;
	}

	void generateToken() {
		this.produced++;
		String content = this.tag + ":" + this.produced + " ";
		if (this.streaming) {
			write("data: {\"id\":\"%s\",\"choices\":[{\"index\":0,\"delta\":{\"content\":\"%s\"}}]}\n\n"
				.formatted(this.id, content));
		}
		else {
			this.output.appendString(content);
		}
	}

	void finish(boolean withFinalEvent) {
		this.ended = true;
		String usage = "\"usage\":{\"prompt_tokens\":%d,\"completion_tokens\":%d,\"prompt_tokens_details\":{\"cached_tokens\":%d}}"
			.formatted(this.promptTokens, this.answerTokens, this.cachedTokens);
		if (this.streaming) {
			write("data: {\"id\":\"%s\",\"choices\":[],%s}\n\n".formatted(this.id, usage));
			if (withFinalEvent) {
				write("data: [DONE]\n\n");
			}
			if (this.response != null) {
				this.response.end();
			}
		}
		else if (this.response != null) {
			String content = this.output.toString();
			this.response.putHeader("Content-Type", "application/json");
			this.response.end(
					"{\"id\":\"%s\",\"choices\":[{\"index\":0,\"message\":{\"role\":\"assistant\",\"content\":\"%s\"}}],%s}"
						.formatted(this.id, content, usage));
		}
	}

	void cancel() {
		this.ended = true;
		if (this.response != null && !this.response.closed() && !this.response.ended()) {
			this.response.reset();
		}
	}

	ExportJson export() {
		return new ExportJson(this.id, this.tag, this.streaming, this.promptTokens, this.cachedTokens,
				this.answerTokens, this.produced, this.output.toString());
	}

	static EngineStream of(ExportJson exported) {
		EngineStream stream = new EngineStream(exported.id(), exported.tag(), exported.events(),
				exported.promptTokens(), exported.cachedTokens(), exported.answerTokens());
		stream.prefilled = true;
		stream.produced = exported.produced();
		stream.output.appendString(exported.output());
		return stream;
	}

	private void write(String event) {
		this.output.appendString(event);
		if (this.response != null && !this.response.closed()) {
			this.response.write(event);
		}
	}

}
