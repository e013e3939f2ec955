package org.sardineport.standins.service;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import org.sardineport.core.backend.BackendServer;
import org.sardineport.core.identity.BackendServerId;
import org.sardineport.core.lifecycle.Service;
import org.sardineport.core.port.backend.BackendException;
import org.sardineport.core.port.backend.BackendFailure;
import org.sardineport.core.port.backend.BackendRequest;
import org.sardineport.core.port.backend.Exchange;
import org.sardineport.core.port.backend.PlainService;
import org.sardineport.core.port.backend.ResponseListener;

/**
 * Fake of plain services in memory. Executes each request it receives, also a repeated
 * one, counts the executions of each idempotency key, and calls listeners on a single
 * thread of its own. Thread-safe.
 */
public final class InMemoryPlainService implements PlainService, Service {

	private static final String KEY_HEADER = "Idempotency-Key";

	private static final int STATUS_CREATED = 201;

	private static final int STATUS_UNAVAILABLE = 503;

	private final ScheduledExecutorService executor = Executors.newSingleThreadScheduledExecutor();

	private final Map<String, Integer> executions = new ConcurrentHashMap<>();

	private final Set<BackendServerId> unreachable = ConcurrentHashMap.newKeySet();

	private volatile ServiceFault fault = ServiceFault.NONE;

	private InMemoryPlainService() {
	}

	/**
	 * Creates a fake that needs no start, but must be stopped to end its thread.
	 * @return the fake
	 */
	public static InMemoryPlainService create() {
		return new InMemoryPlainService();
	}

	@Override
	public CompletionStage<Void> start() {
		return CompletableFuture.completedStage(null);
	}

	@Override
	public CompletionStage<Void> stop() {
		this.executor.shutdownNow();
		return CompletableFuture.completedStage(null);
	}

	/**
	 * Sets the fault of the calls that follow.
	 * @param newFault the fault
	 */
	public void setFault(ServiceFault newFault) {
		this.fault = Objects.requireNonNull(newFault, "newFault must not be null");
	}

	/**
	 * Makes calls to a backend server fail to connect, from now on.
	 * @param id id of the backend server
	 */
	public void setUnreachable(BackendServerId id) {
		this.unreachable.add(id);
	}

	/**
	 * Returns how often the request of each idempotency key was executed.
	 * @return a snapshot of the numbers by key, with {@code none} for requests without
	 * one
	 */
	public Map<String, Integer> executions() {
		return Map.copyOf(this.executions);
	}

	@Override
	public Exchange send(BackendServer server, BackendRequest request, ResponseListener listener) {
		Call call = new Call(listener);
		this.executor.execute(() -> execute(server, request, call));
		return call;
	}

	private void execute(BackendServer server, BackendRequest request, Call call) {
		Duration left = Duration.between(Instant.now(), request.deadline());
		if (this.unreachable.contains(server.id()) || left.isNegative()) {
			call.fail(BackendFailure.NOT_CONNECTED);
			return;
		}
		if (this.fault == ServiceFault.REFUSED) {
			call.respond(STATUS_UNAVAILABLE, "");
			return;
		}
		String key = key(request);
		this.executions.merge(key, 1, Integer::sum);
		switch (this.fault) {
			case NONE, REFUSED -> call.respond(STATUS_CREATED, "{\"reference\":\"" + key + "\"}");
			case RESPONSE_LOST -> call.fail(BackendFailure.BROKEN);
			case TRUNCATED -> {
				call.listener.head(STATUS_CREATED, List.of());
				call.fail(BackendFailure.TRUNCATED);
			}
			case SILENT -> this.executor.schedule(() -> call.fail(BackendFailure.TIMED_OUT), left.toMillis(),
					TimeUnit.MILLISECONDS);
		}
	}

	private static String key(BackendRequest request) {
		return request.headers()
			.stream()
			.filter((field) -> field.getKey().equalsIgnoreCase(KEY_HEADER))
			.map(Map.Entry::getValue)
			.findFirst()
			.orElse("none");
	}

	/**
	 * One call, which responds or fails at most once. Confined to the executor thread,
	 * except for {@link #cancel()}.
	 */
	private final class Call implements Exchange {

		private final ResponseListener listener;

		private boolean ended;

		private Call(ResponseListener listener) {
			this.listener = listener;
		}

		@Override
		public void pause() {
			// The response has a single chunk, so that there is nothing to pause.
		}

		@Override
		public void resume() {
			// The response has a single chunk, so that there is nothing to pause.
		}

		@Override
		public void detach() {
			cancel();
		}

		@Override
		public void cancel() {
			InMemoryPlainService.this.executor.execute(() -> fail(BackendFailure.CANCELLED));
		}

		private void respond(int status, String body) {
			if (!this.ended) {
				this.ended = true;
				this.listener.head(status, List.of());
				this.listener.chunk(ByteBuffer.wrap(body.getBytes(StandardCharsets.UTF_8)));
				this.listener.end();
			}
		}

		private void fail(BackendFailure failure) {
			if (!this.ended) {
				this.ended = true;
				this.listener.failed(BackendException.of(failure, "failure injected by the fake"));
			}
		}

	}

}
