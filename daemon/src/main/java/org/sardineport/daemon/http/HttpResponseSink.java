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
import org.sardineport.daemon.exchange.ResponseSink;
import org.sardineport.daemon.telemetry.EventLog;
import org.sardineport.daemon.telemetry.Telemetry;

/**
 * Writes a response to the caller. If a response fails after its head is written, an
 * event stream ends with an error event and any other response is reset. In both cases
 * the connection closes before the response is complete, so that the caller detects the
 * truncation.
 */
final class HttpResponseSink implements ResponseSink {

	private static final EventLog LOG = EventLog.of(HttpResponseSink.class);

	private final HttpServerRequest request;

	private final HttpServerResponse response;

	private final String requestId;

	private final Telemetry telemetry;

	private final Supplier<List<NetworkAddress>> entries;

	private final Runnable onFinished;

	private boolean eventStream;

	private boolean finished;

	HttpResponseSink(HttpServerRequest request, String requestId, Telemetry telemetry,
			Supplier<List<NetworkAddress>> entries, Runnable onFinished) {
		this.request = request;
		this.response = request.response();
		this.requestId = requestId;
		this.telemetry = telemetry;
		this.entries = entries;
		this.onFinished = onFinished;
	}

	@Override
	public void head(int status, List<Map.Entry<String, String>> headers) {
		if (isClosed()) {
			return;
		}
		this.response.setStatusCode(status);
		headers.forEach((field) -> this.response.headers().add(field.getKey(), field.getValue()));
		this.response.putHeader(HeaderNames.REQUEST_ID, this.requestId);
		String contentType = this.response.headers().get("Content-Type");
		this.eventStream = contentType != null && contentType.startsWith("text/event-stream");
		if (!isBodiless(status) && !this.response.headers().contains("Content-Length")) {
			this.response.setChunked(true);
		}
		if (this.eventStream) {
			this.response.writeHead();
		}
	}

	@Override
	public boolean chunk(ByteBuffer bytes) {
		if (isClosed()) {
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
		if (!isClosed()) {
			this.response.end();
		}
		finish();
	}

	@Override
	public void refuse(Refusal refusal) {
		this.telemetry.refused(refusal.reason()).inc();
		LOG.debug("request.refused", "request", this.requestId, "kind", refusal.reason().label(), "outcome",
				refusal.outcome().label(), "detail", refusal.detail());
		if (!isClosed()) {
			ProblemJson problem = ProblemJson.of(refusal, this.requestId, this.entries.get());
			if (this.response.headWritten()) {
				abort(problem);
			}
			else {
				writeProblem(problem);
			}
		}
		finish();
	}

	void closed() {
		finish();
	}

	private void writeProblem(ProblemJson problem) {
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

	private void abort(ProblemJson problem) {
		if (!this.eventStream) {
			this.response.reset();
			return;
		}
		String event = "event: error\ndata: " + new String(problem.toBytes(), StandardCharsets.UTF_8) + "\n\n";
		this.response.write(Buffer.buffer(event)).onComplete((ignored) -> this.request.connection().close());
	}

	private boolean isBodiless(int status) {
		return status == 204 || status == 304 || this.request.method().equals(HttpMethod.HEAD);
	}

	private boolean isClosed() {
		return this.finished || this.response.closed() || this.response.ended();
	}

	private void finish() {
		if (!this.finished) {
			this.finished = true;
			this.onFinished.run();
		}
	}

}
