package org.sardineport.daemon.http;

import java.time.Duration;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import org.sardineport.core.request.Refusal;
import org.sardineport.core.request.RefusalReason;

/**
 * Reads the body of a request within limits of size and time.
 */
final class BodyReader {

	/** Time for a refused caller to read its answer before the connection is closed. */
	private static final Duration CLOSE_GRACE = Duration.ofSeconds(1);

	private final Vertx vertx;

	private final HttpServerRequest request;

	private final int maximumBytes;

	private final BodyListener listener;

	private final Buffer body = Buffer.buffer();

	private long timer = -1;

	private boolean over;

	BodyReader(Vertx vertx, HttpServerRequest request, int maximumBytes, BodyListener listener) {
		this.vertx = vertx;
		this.request = request;
		this.maximumBytes = maximumBytes;
		this.listener = listener;
	}

	void start(Duration timeout) {
		this.request.handler(this::onChunk);
		this.request.endHandler((ignored) -> onEnd());
		this.timer = this.vertx.setTimer(timeout.toMillis(), (id) -> refuse(RefusalReason.BODY_TOO_SLOW,
				"The body did not come within %d ms.".formatted(timeout.toMillis())));
		if (announcedLength() > this.maximumBytes) {
			refuseSize();
		}
		else if ("100-continue".equalsIgnoreCase(this.request.getHeader("Expect"))) {
			this.request.response().writeContinue();
		}
	}

	/** Stops reading, as the request was refused or its caller left. */
	void stop() {
		this.over = true;
		this.vertx.cancelTimer(this.timer);
	}

	/**
	 * Takes and drops the rest of a refused request's body for a short time, so that the
	 * caller reads its answer, and then closes the connection.
	 * @param vertx gives the timer
	 * @param request the refused request
	 */
	static void discard(Vertx vertx, HttpServerRequest request) {
		if (request.isEnded()) {
			return;
		}
		request.handler((ignored) -> {
		});
		long closing = vertx.setTimer(CLOSE_GRACE.toMillis(), (id) -> request.connection().close());
		request.endHandler((ignored) -> vertx.cancelTimer(closing));
	}

	private void onChunk(Buffer bytes) {
		if (this.over) {
			return;
		}
		if (this.body.length() + bytes.length() > this.maximumBytes) {
			refuseSize();
			return;
		}
		this.body.appendBuffer(bytes);
	}

	private void onEnd() {
		if (!this.over) {
			stop();
			this.listener.body(this.body.getBytes());
		}
	}

	private void refuseSize() {
		refuse(RefusalReason.BODY_TOO_LARGE, "The body is larger than %d bytes.".formatted(this.maximumBytes));
	}

	private void refuse(RefusalReason reason, String detail) {
		if (!this.over) {
			stop();
			this.listener.refused(Refusal.of(reason, detail));
		}
	}

	private long announcedLength() {
		String length = this.request.getHeader("Content-Length");
		try {
			return (length != null) ? Long.parseLong(length.strip()) : 0;
		}
		catch (NumberFormatException ex) {
			return Long.MAX_VALUE;
		}
	}

}
