package org.sardineport.daemon.http;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import org.sardineport.core.exchange.HeaderNames;
import org.sardineport.core.identity.NetworkAddress;
import org.sardineport.core.request.Refusal;
import org.sardineport.daemon.exchange.AnswerSink;
import org.sardineport.daemon.telemetry.EventLog;
import org.sardineport.daemon.telemetry.Telemetry;

/**
 * Writes an answer to the caller. A stream that cannot be made whole ends in an error
 * event, if it is one of events, and a closed connection without the last chunk.
 */
final class HttpAnswerSink implements AnswerSink {

	private static final EventLog LOG = EventLog.of(HttpAnswerSink.class);

	private final HttpServerRequest request;

	private final HttpServerResponse response;

	private final String requestId;

	private final Telemetry telemetry;

	private final Supplier<List<NetworkAddress>> entries;

	private final Runnable whenOver;

	private boolean events;

	private boolean over;

	HttpAnswerSink(HttpServerRequest request, String requestId, Telemetry telemetry,
			Supplier<List<NetworkAddress>> entries, Runnable whenOver) {
		this.request = request;
		this.response = request.response();
		this.requestId = requestId;
		this.telemetry = telemetry;
		this.entries = entries;
		this.whenOver = whenOver;
	}

	@Override
	public void head(int status, List<Map.Entry<String, String>> headers) {
		if (isGone()) {
			return;
		}
		this.response.setStatusCode(status);
		headers.forEach((field) -> this.response.headers().add(field.getKey(), field.getValue()));
		this.response.putHeader(HeaderNames.REQUEST_ID, this.requestId);
		String contentType = this.response.headers().get("Content-Type");
		this.events = contentType != null && contentType.startsWith("text/event-stream");
		if (!isBodiless(status) && !this.response.headers().contains("Content-Length")) {
			this.response.setChunked(true);
		}
		if (this.events) {
			this.response.writeHead();
		}
	}

	@Override
	public boolean chunk(ByteBuffer bytes) {
		if (isGone()) {
			return true;
		}
		byte[] copy = new byte[bytes.remaining()];
		bytes.get(copy);
		this.response.write(Buffer.buffer(copy));
		return !this.response.writeQueueFull();
	}

	@Override
	public void whenDrained(Runnable action) {
		this.response.drainHandler((ignored) -> action.run());
	}

	@Override
	public void end() {
		if (!isGone()) {
			this.response.end();
		}
		finish();
	}

	@Override
	public void refuse(Refusal refusal) {
		this.telemetry.refused(refusal.reason()).inc();
		LOG.debug("request.refused", "request", this.requestId, "kind", refusal.reason().label(), "outcome",
				refusal.outcome().label(), "detail", refusal.detail());
		if (!isGone()) {
			ProblemJson problem = ProblemJson.of(refusal, this.requestId, this.entries.get());
			if (this.response.headWritten()) {
				breakOff(problem);
			}
			else {
				write(problem);
			}
		}
		finish();
	}

	void closed() {
		finish();
	}

	private void write(ProblemJson problem) {
		this.response.headers().clear();
		this.response.setChunked(false).setStatusCode(problem.status());
		this.response.putHeader("Content-Type", ProblemJson.CONTENT_TYPE);
		this.response.putHeader(HeaderNames.REQUEST_ID, this.requestId);
		this.response.putHeader(HeaderNames.OUTCOME, problem.outcome());
		if (problem.retryAfterSeconds() != null) {
			this.response.putHeader("Retry-After", problem.retryAfterSeconds().toString());
		}
		this.response.end(Buffer.buffer(problem.toBytes()));
	}

	private void breakOff(ProblemJson problem) {
		if (!this.events) {
			this.response.reset();
			return;
		}
		String event = "event: error\ndata: " + new String(problem.toBytes(), StandardCharsets.UTF_8) + "\n\n";
		this.response.write(Buffer.buffer(event)).onComplete((ignored) -> this.request.connection().close());
	}

	private boolean isBodiless(int status) {
		return status == 204 || status == 304 || this.request.method().equals(HttpMethod.HEAD);
	}

	private boolean isGone() {
		return this.over || this.response.closed() || this.response.ended();
	}

	private void finish() {
		if (!this.over) {
			this.over = true;
			this.whenOver.run();
		}
	}

}
