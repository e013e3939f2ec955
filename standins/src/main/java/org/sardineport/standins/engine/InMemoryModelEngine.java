package org.sardineport.standins.engine;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.ObjectMapper;
import org.sardineport.core.backend.BackendServer;
import org.sardineport.core.backend.LoadReport;
import org.sardineport.core.exchange.RequestHashes;
import org.sardineport.core.identity.BackendServerId;
import org.sardineport.core.lifecycle.Service;
import org.sardineport.core.port.backend.BackendException;
import org.sardineport.core.port.backend.BackendFailure;
import org.sardineport.core.port.backend.BackendRequest;
import org.sardineport.core.port.backend.CacheEvent;
import org.sardineport.core.port.backend.EngineOrder;
import org.sardineport.core.port.backend.Exchange;
import org.sardineport.core.port.backend.ModelEngine;
import org.sardineport.core.port.backend.ResponseListener;

/**
 * Fake of model engines in memory, without sockets. Generates tokens and calls listeners
 * on a single thread of its own. Thread-safe.
 */
public final class InMemoryModelEngine implements ModelEngine, Service {

	private static final ObjectMapper JSON = new ObjectMapper();

	private final ScheduledExecutorService executor = Executors.newSingleThreadScheduledExecutor();

	private final Map<BackendServerId, InMemoryEngineState> engines = new ConcurrentHashMap<>();

	private final InstantSource clock;

	private InMemoryModelEngine(InstantSource clock) {
		this.clock = Objects.requireNonNull(clock, "clock must not be null");
	}

	/**
	 * Creates a fake without engines. It needs no start, but must be stopped to end its
	 * thread.
	 * @param clock source of the engines' time
	 * @return the fake
	 */
	public static InMemoryModelEngine create(InstantSource clock) {
		return new InMemoryModelEngine(clock);
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
	 * Adds an engine, or replaces the one of the same id.
	 * @param id id of the engine
	 * @param options speed and capabilities of the engine
	 */
	public void add(BackendServerId id, EngineOptions options) {
		this.engines.put(id, new InMemoryEngineState(options, this.clock));
	}

	/**
	 * Returns the fault injection of an engine.
	 * @param id id of the engine
	 * @return the faults, which can be changed at any time
	 * @throws NullPointerException if the engine was not added
	 */
	public EngineFaults faults(BackendServerId id) {
		return engine(id).faults();
	}

	/**
	 * Returns the counters of an engine.
	 * @param id id of the engine
	 * @return the counters, which go on counting
	 * @throws NullPointerException if the engine was not added
	 */
	public EngineCounters counters(BackendServerId id) {
		return engine(id).counters();
	}

	/**
	 * Sets whether the load reports of an engine announce that it is about to leave.
	 * @param id id of the engine
	 * @param isLeaving whether it is about to leave
	 * @throws NullPointerException if the engine was not added
	 */
	public void setLeaving(BackendServerId id, boolean isLeaving) {
		engine(id).setLeaving(isLeaving);
	}

	@Override
	public Exchange send(BackendServer server, BackendRequest request, ResponseListener listener) {
		InMemoryEngineState engine = engine(server.id());
		InMemoryExchange exchange = new InMemoryExchange(engine, request.streamId(), listener);
		this.executor.execute(() -> receive(engine, request, exchange));
		return exchange;
	}

	@Override
	public Exchange resume(BackendServer server, String streamId, long fromByte, ResponseListener listener) {
		InMemoryEngineState engine = engine(server.id());
		InMemoryExchange exchange = new InMemoryExchange(engine, streamId, listener);
		this.executor.execute(() -> {
			InMemoryStream existing = engine.streams().get(streamId);
			if (existing == null || !engine.options().resumesStreams()) {
				exchange.fail(BackendFailure.NOT_SUPPORTED);
				return;
			}
			exchange.stream = existing;
			existing.attach(listener, (int) fromByte);
		});
		return exchange;
	}

	@Override
	public CompletionStage<Boolean> cancel(BackendServer server, String streamId) {
		InMemoryEngineState engine = engine(server.id());
		return call(() -> remove(engine, streamId));
	}

	@Override
	public CompletionStage<byte[]> exportCache(BackendServer server, String streamId) {
		InMemoryEngineState engine = engine(server.id());
		return call(() -> {
			InMemoryStream stream = engine.streams().get(streamId);
			if (stream == null || !engine.options().resumesStreams()) {
				throw BackendException.of(BackendFailure.NOT_SUPPORTED, "no stream " + streamId);
			}
			byte[] exported = JSON.writeValueAsBytes(stream.export(streamId));
			remove(engine, streamId);
			return exported;
		});
	}

	@Override
	public CompletionStage<Void> importCache(BackendServer server, String streamId, byte[] cache) {
		InMemoryEngineState engine = engine(server.id());
		return call(() -> {
			InMemoryStream stream = InMemoryStream.of(JSON.readValue(cache, ExportJson.class));
			engine.streams().put(streamId, stream);
			scheduleNext(engine, stream);
			return null;
		});
	}

	@Override
	public CompletionStage<LoadReport> load(BackendServer server) {
		InMemoryEngineState engine = engine(server.id());
		return call(() -> new LoadReport(server.id(), engine.running(), 0, 0, engine.isLeaving(),
				engine.options().resumesStreams(), this.clock.instant().minus(engine.options().loadLag())));
	}

	@Override
	public CompletionStage<List<CacheEvent>> cacheEvents(BackendServer server, long afterSequence) {
		InMemoryEngineState engine = engine(server.id());
		return call(() -> engine.cache()
			.events(afterSequence, engine.faults().isDroppingEvents())
			.stream()
			.map((event) -> new CacheEvent(event.sequence(), event.prefixHash(), event.stored()))
			.toList());
	}

	@Override
	public CompletionStage<Void> order(BackendServer server, EngineOrder order) {
		InMemoryEngineState engine = engine(server.id());
		return call(() -> {
			if (engine.options().checksFencing() && order.fencingNumber() < engine.order().fencingNumber()) {
				throw BackendException.of(BackendFailure.FENCED, "the engine has accepted a newer fencing number");
			}
			engine.setOrder(new OrderRecord(order.kind().name(), order.argument(), order.fencingNumber()));
			if (engine.faults().isDroppingOrderResponses()) {
				throw BackendException.of(BackendFailure.BROKEN, "the response was dropped by fault injection");
			}
			return null;
		});
	}

	@Override
	public CompletionStage<EngineOrder> currentOrder(BackendServer server) {
		InMemoryEngineState engine = engine(server.id());
		return call(() -> new EngineOrder(EngineOrder.Kind.valueOf(engine.order().kind()), engine.order().argument(),
				engine.order().fencingNumber()));
	}

	private void receive(InMemoryEngineState engine, BackendRequest request, InMemoryExchange exchange) {
		String body = new String(request.body(), StandardCharsets.UTF_8);
		ChatRequest chat = parse(request.body());
		String tag = chat.tag();
		engine.counters().received(tag);
		if (engine.faults().crashesOn(body)) {
			exchange.fail(BackendFailure.BROKEN);
			return;
		}
		engine.cache().access(RequestHashes.prefix(request.body()));
		InMemoryStream stream = new InMemoryStream(tag, chat.maximumTokens());
		engine.streams().put(request.streamId(), stream);
		exchange.stream = stream;
		stream.attach(exchange.listener, 0);
		scheduleNext(engine, stream);
		Duration left = Duration.between(this.clock.instant(), request.deadline());
		this.executor.schedule(() -> exchange.abort(BackendFailure.TIMED_OUT), left.toMillis(), TimeUnit.MILLISECONDS);
	}

	private void scheduleNext(InMemoryEngineState engine, InMemoryStream stream) {
		long interval = engine.options().tokenInterval().toMillis() * engine.faults().slowdown();
		this.executor.schedule(() -> generateNext(engine, stream), Math.max(1, interval), TimeUnit.MILLISECONDS);
	}

	private void generateNext(InMemoryEngineState engine, InMemoryStream stream) {
		if (stream.isRemoved()) {
			return;
		}
		if (!stream.isComplete()) {
			stream.generateToken();
		}
		if (stream.produced() == engine.faults().truncateAfterTokens()) {
			stream.remove();
		}
		else if (stream.isComplete()) {
			stream.finish(!engine.faults().isOmittingFinalEvent());
		}
		else {
			scheduleNext(engine, stream);
		}
	}

	private static boolean remove(InMemoryEngineState engine, String streamId) {
		InMemoryStream stream = engine.streams().remove(streamId);
		if (stream == null || !stream.isRunning()) {
			return false;
		}
		stream.remove();
		return true;
	}

	private static ChatRequest parse(byte[] body) {
		try {
			return ChatRequest.parse(body);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private InMemoryEngineState engine(BackendServerId id) {
		return Objects.requireNonNull(this.engines.get(id), "engine must have been added");
	}

	private <T> CompletionStage<T> call(Callable<T> action) {
		CompletableFuture<T> result = new CompletableFuture<>();
		this.executor.execute(() -> {
			try {
				result.complete(action.call());
			}
			catch (Exception ex) {
				result.completeExceptionally(ex);
			}
		});
		return result;
	}

	/**
	 * One exchange with an engine. Hands all calls over to the executor thread.
	 */
	private final class InMemoryExchange implements Exchange {

		private final InMemoryEngineState engine;

		private final String streamId;

		private final ResponseListener listener;

		private InMemoryStream stream = new InMemoryStream("none", 0);

		private InMemoryExchange(InMemoryEngineState engine, String streamId, ResponseListener listener) {
			this.engine = engine;
			this.streamId = streamId;
			this.listener = listener;
		}

		@Override
		public void pause() {
			InMemoryModelEngine.this.executor.execute(() -> this.stream.pause());
		}

		@Override
		public void resume() {
			InMemoryModelEngine.this.executor.execute(() -> this.stream.resume());
		}

		@Override
		public void cancel() {
			InMemoryModelEngine.this.executor.execute(() -> abort(BackendFailure.CANCELLED));
		}

		@Override
		public void detach() {
			InMemoryModelEngine.this.executor.execute(() -> {
				if (this.stream.hasListener(this.listener)) {
					this.stream.fail(BackendFailure.CANCELLED);
				}
			});
		}

		private void abort(BackendFailure failure) {
			if (this.stream.hasListener(this.listener)) {
				this.stream.fail(failure);
				InMemoryModelEngine.remove(this.engine, this.streamId);
			}
		}

		private void fail(BackendFailure failure) {
			this.listener.failed(BackendException.of(failure, "failure injected by the fake"));
		}

	}

}
