package org.sardineport.daemon.relay;

import java.util.function.BooleanSupplier;

import io.vertx.core.Future;
import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import org.jspecify.annotations.Nullable;
import org.sardineport.core.relay.CallerMemory;
import org.sardineport.core.request.Refusal;
import org.sardineport.core.request.RefusalReason;

/**
 * Response to one caller. Sends nothing once the response has ended or the caller has
 * disconnected. Confined to the event loop.
 */
final class CallerResponse {

	private static final int STATUS_NO_CONTENT = 204;

	private static final int STATUS_NOT_MODIFIED = 304;

	private static final int STATUS_UNAVAILABLE = 503;

	private final HttpServerRequest request;

	private final HttpServerResponse response;

	private final RelayProtocol protocol;

	private final CallerMemory memory;

	private final BooleanSupplier stopping;

	private final BooleanSupplier connectionIdle;

	private final Runnable endHandler;

	private boolean ended;

	CallerResponse(HttpServerRequest request, RelayProtocol protocol, CallerMemory memory, BooleanSupplier stopping,
			BooleanSupplier connectionIdle, Runnable endHandler) {
		this.request = request;
		this.response = request.response();
		this.protocol = protocol;
		this.memory = memory;
		this.stopping = stopping;
		this.connectionIdle = connectionIdle;
		this.endHandler = endHandler;
	}

	void begin(int status, MultiMap headers) {
		if (isClosed()) {
			return;
		}
		this.response.setStatusCode(status);
		this.response.headers().addAll(headers);
		this.response.setChunked(true);
		addCloseHeaderIfStopping();
	}

	/**
	 * Writes a part of the body.
	 * @param bytes the part
	 * @return whether the write queue is full, so that the source should pause
	 */
	boolean write(Buffer bytes) {
		if (isClosed()) {
			return false;
		}
		this.response.write(bytes);
		return this.response.writeQueueFull();
	}

	void onDrained(Runnable action) {
		this.response.drainHandler((ignored) -> action.run());
	}

	/**
	 * Ends a response that has begun.
	 * @return completes when it is written, at once if the caller has left
	 */
	Future<Void> end() {
		Future<Void> written = isClosed() ? Future.succeededFuture() : this.response.end();
		finish();
		closeIfStopping(written);
		return written;
	}

	/**
	 * Sends a whole response.
	 * @param status the HTTP status
	 * @param headers all headers except the content length
	 * @param body the whole body
	 * @return completes when it is written, at once if the caller has left
	 */
	Future<Void> send(int status, MultiMap headers, Buffer body) {
		if (isClosed()) {
			finish();
			return Future.succeededFuture();
		}
		this.response.setStatusCode(status);
		this.response.headers().addAll(headers);
		addCloseHeaderIfStopping();
		boolean bodiless = status == STATUS_NO_CONTENT || status == STATUS_NOT_MODIFIED;
		this.memory.hold(body.length());
		Future<Void> written = bodiless ? this.response.end() : this.response.end(body);
		written.onComplete((ignored) -> this.memory.release(body.length()));
		finish();
		closeIfStopping(written);
		return written;
	}

	/**
	 * Sends a refusal in place of a backend server's response.
	 * @param requestId identity that the caller gave the request, or {@code null}
	 * @param refusal the reason, and when to retry
	 * @param closeConnection whether to close the connection, as nothing more can be read
	 * from it
	 */
	void refuse(@Nullable String requestId, Refusal refusal, boolean closeConnection) {
		if (isClosed()) {
			finish();
			return;
		}
		this.response.setStatusCode(status(refusal.reason()));
		this.response.headers().addAll(this.protocol.refusalHeaders(requestId, refusal));
		if (closeConnection) {
			this.response.putHeader("Connection", "close");
		}
		addCloseHeaderIfStopping();
		String body = refusal.reason().label() + ": " + refusal.detail() + ". " + refusal.reason().remedy() + "\n";
		Future<Void> written = this.response.end(body);
		finish();
		if (closeConnection) {
			written.onComplete((ignored) -> this.request.connection().close());
		}
		else {
			closeIfStopping(written);
		}
	}

	/**
	 * Returns the status of a refusal. Status 503 signals that the request did not run
	 * and may be repeated.
	 * @param reason the reason
	 * @return the HTTP status
	 */
	private static int status(RefusalReason reason) {
		return switch (reason) {
			case QUARANTINED, DEADLINE_PASSED, BACKEND_UNREACHABLE -> STATUS_UNAVAILABLE;
			default -> reason.status();
		};
	}

	/**
	 * Aborts a response that has begun by closing the connection, so that the caller does
	 * not take it for complete.
	 */
	void abort() {
		if (!isClosed()) {
			this.request.connection().close();
		}
		finish();
	}

	void callerDisconnected() {
		finish();
	}

	boolean isClosed() {
		return this.ended || this.response.closed() || this.response.ended();
	}

	private void addCloseHeaderIfStopping() {
		if (this.stopping.getAsBoolean()) {
			this.response.putHeader("Connection", "close");
		}
	}

	// A pipelined request may have started; the connection is closed after its response.
	private void closeIfStopping(Future<Void> written) {
		written.onComplete((ignored) -> {
			if (this.stopping.getAsBoolean() && this.connectionIdle.getAsBoolean()) {
				this.request.connection().close();
			}
		});
	}

	private void finish() {
		if (!this.ended) {
			this.ended = true;
			this.endHandler.run();
		}
	}

}
