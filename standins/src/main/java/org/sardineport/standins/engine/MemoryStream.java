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
 * One stream of an engine in memory: what was generated, and how far a listener has heard
 * it. Touched on the fake's thread only.
 */
final class MemoryStream {

	private static final int STATUS_OK = 200;

	private final String tag;

	private final int tokens;

	private final StringBuilder output = new StringBuilder();

	private int produced;

	private int delivered;

	private boolean generated;

	private boolean gone;

	private boolean paused;

	private boolean broken;

	private @Nullable ResponseListener listener;

	MemoryStream(String tag, int tokens) {
		this.tag = tag;
		this.tokens = tokens;
	}

	static MemoryStream of(ExportJson exported) {
		MemoryStream stream = new MemoryStream(exported.tag(), exported.answerTokens());
		stream.produced = exported.produced();
		stream.output.append(exported.output());
		return stream;
	}

	ExportJson export(String id) {
		return new ExportJson(id, this.tag, true, 0, 0, this.tokens, this.produced, this.output.toString());
	}

	boolean isRunning() {
		return !this.generated && !this.gone;
	}

	boolean isGone() {
		return this.gone;
	}

	int produced() {
		return this.produced;
	}

	void attach(ResponseListener heard, int fromByte) {
		this.listener = heard;
		this.delivered = fromByte;
		this.paused = false;
		heard.head(STATUS_OK, List.of(Map.entry("Content-Type", "text/event-stream")));
		deliver();
	}

	void token() {
		this.produced++;
		this.output.append(
				"data: {\"choices\":[{\"delta\":{\"content\":\"%s:%d \"}}]}\n\n".formatted(this.tag, this.produced));
		deliver();
	}

	boolean isComplete() {
		return this.produced >= this.tokens;
	}

	void finish(boolean withFinalEvent) {
		this.generated = true;
		this.broken = !withFinalEvent;
		if (withFinalEvent) {
			this.output.append("data: [DONE]\n\n");
		}
		deliver();
	}

	/** Ends the stream on the engine, as by a cancellation or an export. */
	void remove() {
		this.gone = true;
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
		ResponseListener heard = this.listener;
		if (heard != null) {
			this.listener = null;
			heard.failed(BackendException.of(failure, "stream of " + this.tag));
		}
	}

	boolean isHeardBy(ResponseListener heard) {
		return this.listener == heard;
	}

	private void deliver() {
		ResponseListener heard = this.listener;
		if (heard == null || this.paused) {
			return;
		}
		if (this.delivered < this.output.length()) {
			String rest = this.output.substring(this.delivered);
			this.delivered = this.output.length();
			heard.chunk(ByteBuffer.wrap(rest.getBytes(StandardCharsets.UTF_8)));
		}
		if (this.generated && this.broken) {
			fail(BackendFailure.TRUNCATED);
		}
		else if (this.generated) {
			this.listener = null;
			heard.end();
		}
	}

}
