package org.sardineport.daemon.http;

import java.time.Duration;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import org.sardineport.core.request.Refusal;
import org.sardineport.core.request.RefusalReason;

/**
 * Reads the body of a request into memory within a size limit and a timeout. Confined to
 * the context of the request.
 */
final class BodyReader {

	/**
	 * Time left to a refused caller to read the response before the connection closes.
	 */
	private static final Duration CLOSE_GRACE = Duration.ofSeconds(1);

	private final Vertx vertx;

	private final HttpServerRequest request;

	private final int maxBytes;

	private final BodyListener listener;

	private final Buffer body = Buffer.buffer();

	private long timer = -1;

	private boolean finished;

	BodyReader(Vertx vertx, HttpServerRequest request, int maxBytes, BodyListener listener) {
		this.vertx = vertx;
		this.request = request;
		this.maxBytes = maxBytes;
		this.listener = listener;
	}

	void start(Duration timeout) {
		this.request.handler(this::onChunk);
		this.request.endHandler((ignored) -> onEnd());
		this.timer = this.vertx.setTimer(timeout.toMillis(), (id) -> refuse(RefusalReason.BODY_TOO_SLOW,
				"The body did not come within %d ms.".formatted(timeout.toMillis())));
		if (contentLength() > this.maxBytes) {
			refuseSize();
		}
		else if ("100-continue".equalsIgnoreCase(this.request.getHeader("Expect"))) {
			this.request.response().writeContinue();
		}
	}

	/** Stops reading because the request was refused or its caller disconnected. */
	void stop() {
		this.finished = true;
		this.vertx.cancelTimer(this.timer);
	}

	/**
	 * Reads and discards the rest of a refused request's body for a short time, so that
	 * the caller can read the response, and then closes the connection. The connection
	 * stays open if the body ends within that time.
	 * @param vertx the Vert.x instance that runs the timer
	 * @param request the refused request
	 */
	static void discard(Vertx vertx, HttpServerRequest request) {
		if (request.isEnded()) {
			return;
		}
		request.handler((ignored) -> {
		});
		long closeTimer = vertx.setTimer(CLOSE_GRACE.toMillis(), (id) -> request.connection().close());
		request.endHandler((ignored) -> vertx.cancelTimer(closeTimer));
	}

	private void onChunk(Buffer bytes) {
		if (this.finished) {
			return;
		}
		if (this.body.length() + bytes.length() > this.maxBytes) {
			refuseSize();
			return;
		}
		this.body.appendBuffer(bytes);
	}

	private void onEnd() {
		if (!this.finished) {
			stop();
			this.listener.body(this.body.getBytes());
		}
	}

	private void refuseSize() {
		refuse(RefusalReason.BODY_TOO_LARGE, "The body is larger than %d bytes.".formatted(this.maxBytes));
	}

	private void refuse(RefusalReason reason, String detail) {
		if (!this.finished) {
			stop();
			this.listener.refused(Refusal.of(reason, detail));
		}
	}

	private long contentLength() {
		String length = this.request.getHeader("Content-Length");
		try {
			return (length != null) ? Long.parseLong(length.strip()) : 0;
		}
		catch (NumberFormatException ex) {
			return Long.MAX_VALUE;
		}
	}

}
