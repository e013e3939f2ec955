package org.sardineport.standins.engine;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.port.backend.BackendException;
import org.sardineport.core.port.backend.BackendFailure;
import org.sardineport.core.port.backend.ResponseListener;

/**
 * One stream of an {@link InMemoryModelEngine}: the output generated so far, and how much
 * of it the current listener has received. Confined to the executor thread of that fake.
 */
final class InMemoryStream {

	private static final int STATUS_OK = 200;

	private final String tag;

	private final int answerTokens;

	private final StringBuilder output = new StringBuilder();

	private int produced;

	private int deliveredBytes;

	private boolean finished;

	private boolean removed;

	private boolean paused;

	private boolean truncated;

	private @Nullable ResponseListener listener;

	InMemoryStream(String tag, int tokens) {
		this.tag = tag;
		this.answerTokens = tokens;
	}

	static InMemoryStream of(ExportJson exported) {
		InMemoryStream stream = new InMemoryStream(exported.tag(), exported.answerTokens());
		stream.produced = exported.produced();
		stream.output.append(exported.output());
		return stream;
	}

	ExportJson export(String id) {
		return new ExportJson(id, this.tag, true, 0, 0, this.answerTokens, this.produced, this.output.toString());
	}

	boolean isRunning() {
		return !this.finished && !this.removed;
	}

	boolean isRemoved() {
		return this.removed;
	}

	int produced() {
		return this.produced;
	}

	void attach(ResponseListener newListener, int fromByte) {
		this.listener = newListener;
		this.deliveredBytes = fromByte;
		this.paused = false;
		newListener.head(STATUS_OK, List.of(Map.entry("Content-Type", "text/event-stream")));
		deliver();
	}

	void generateToken() {
		this.produced++;
		this.output.append(
				"data: {\"choices\":[{\"delta\":{\"content\":\"%s:%d \"}}]}\n\n".formatted(this.tag, this.produced));
		deliver();
	}

	boolean isComplete() {
		return this.produced >= this.answerTokens;
	}

	void finish(boolean withFinalEvent) {
		this.finished = true;
		this.truncated = !withFinalEvent;
		if (withFinalEvent) {
			this.output.append("data: [DONE]\n\n");
		}
		deliver();
	}

	/**
	 * Ends the stream on the engine, as a cancellation or an export does. The listener
	 * sees a truncated response.
	 */
	void remove() {
		this.removed = true;
		fail(BackendFailure.TRUNCATED);
	}

	void pause() {
		this.paused = true;
	}

	void resume() {
		this.paused = false;
		deliver();
	}

	void fail(BackendFailure failure) {
		ResponseListener current = this.listener;
		if (current != null) {
			this.listener = null;
			current.failed(BackendException.of(failure, "stream of " + this.tag));
		}
	}

	boolean hasListener(ResponseListener candidate) {
		return this.listener == candidate;
	}

	private void deliver() {
		ResponseListener current = this.listener;
		if (current == null || this.paused) {
			return;
		}
		if (this.deliveredBytes < this.output.length()) {
			String rest = this.output.substring(this.deliveredBytes);
			this.deliveredBytes = this.output.length();
			current.chunk(ByteBuffer.wrap(rest.getBytes(StandardCharsets.UTF_8)));
		}
		if (this.finished && this.truncated) {
			fail(BackendFailure.TRUNCATED);
		}
		else if (this.finished) {
			this.listener = null;
			current.end();
		}
	}

}
