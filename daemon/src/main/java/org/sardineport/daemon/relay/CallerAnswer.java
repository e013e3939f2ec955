package org.sardineport.daemon.relay;

import java.util.function.BooleanSupplier;

import io.vertx.core.Future;
import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import org.jspecify.annotations.Nullable;
import org.sardineport.core.request.Refusal;
import org.sardineport.core.request.RefusalReason;

/**
 * The answer to one caller. Confined to the event loop.
 */
final class CallerAnswer {

	private static final int STATUS_NO_CONTENT = 204;

	private static final int STATUS_NOT_MODIFIED = 304;

	private static final int STATUS_UNAVAILABLE = 503;

	private final HttpServerRequest request;

	private final HttpServerResponse response;

	private final RelayProtocol protocol;

	private final BooleanSupplier stopping;

	private final Runnable whenOver;

	private boolean over;

	CallerAnswer(HttpServerRequest request, RelayProtocol protocol, BooleanSupplier stopping, Runnable whenOver) {
		this.request = request;
		this.response = request.response();
		this.protocol = protocol;
		this.stopping = stopping;
		this.whenOver = whenOver;
	}

	void begin(int status, MultiMap headers) {
		if (isGone()) {
			return;
		}
		this.response.setStatusCode(status);
		this.response.headers().addAll(headers);
		this.response.setChunked(true);
		announceClose();
	}

	/**
	 * Passes on a part of the answer.
	 * @param bytes the part
	 * @return whether the caller reads more slowly than parts come
	 */
	boolean part(Buffer bytes) {
		if (isGone()) {
			return false;
		}
		this.response.write(bytes);
		return this.response.writeQueueFull();
	}

	void whenDrained(Runnable action) {
		this.response.drainHandler((ignored) -> action.run());
	}

	void complete() {
		if (!isGone()) {
			closeAfter(this.response.end());
		}
		finish();
	}

	void whole(int status, MultiMap headers, Buffer body) {
		if (!isGone()) {
			this.response.setStatusCode(status);
			this.response.headers().addAll(headers);
			announceClose();
			boolean bodiless = status == STATUS_NO_CONTENT || status == STATUS_NOT_MODIFIED;
			closeAfter(bodiless ? this.response.end() : this.response.end(body));
		}
		finish();
	}

	/**
	 * Tells the caller that its request gets no answer of a backend server.
	 * @param requestId identity that the caller gave the request, or {@code null}
	 * @param refusal why
	 * @param closeConnection whether nothing more can be read from the connection
	 */
	void refuse(@Nullable String requestId, Refusal refusal, boolean closeConnection) {
		if (isGone()) {
			finish();
			return;
		}
		this.response.setStatusCode(status(refusal.reason()));
		this.response.headers().addAll(this.protocol.ofRefusal(requestId, refusal));
		if (closeConnection) {
			this.response.putHeader("Connection", "close");
		}
		announceClose();
		String text = refusal.reason().label() + ": " + refusal.detail() + ". " + refusal.reason().remedy() + "\n";
		this.response.end(text).onComplete((ignored) -> {
			if (closeConnection || this.stopping.getAsBoolean()) {
				this.request.connection().close();
			}
		});
		finish();
	}

	/**
	 * Returns the status of a refusal. A request that did not run and may come again gets
	 * the status that says so.
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
	 * Breaks an answer off that has begun, so that it does not look complete.
	 */
	void breakOff() {
		if (!isGone()) {
			this.request.connection().close();
		}
		finish();
	}

	void closed() {
		finish();
	}

	boolean isGone() {
		return this.over || this.response.closed() || this.response.ended();
	}

	private void announceClose() {
		if (this.stopping.getAsBoolean()) {
			this.response.putHeader("Connection", "close");
		}
	}

	private void closeAfter(Future<Void> written) {
		if (this.stopping.getAsBoolean()) {
			written.onComplete((ignored) -> this.request.connection().close());
		}
	}

	private void finish() {
		if (!this.over) {
			this.over = true;
			this.whenOver.run();
		}
	}

}
