package org.sardineport.daemon.engine;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.sardineport.core.backend.BackendServer;
import org.sardineport.core.backend.LoadReport;
import org.sardineport.core.port.backend.BackendException;
import org.sardineport.core.port.backend.BackendFailure;
import org.sardineport.core.port.backend.BackendRequest;
import org.sardineport.core.port.backend.CacheEvent;
import org.sardineport.core.port.backend.EngineOrder;
import org.sardineport.core.port.backend.Exchange;
import org.sardineport.core.port.backend.ModelEngine;
import org.sardineport.standins.engine.EngineFaults;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Contract of {@link ModelEngine} implementations, with and without injected faults. The
 * tests use two engines with all capabilities, one that neither resumes streams nor
 * checks fencing numbers, and one whose reports lag by an hour.
 */
abstract class ModelEngineContract {

	static final int CAPABLE = 0;

	static final int SECOND_CAPABLE = 1;

	static final int LIMITED = 2;

	static final int LAGGING = 3;

	private static final Duration LONG_TIMEOUT = Duration.ofSeconds(15);

	private static final Duration SHORT_TIMEOUT = Duration.ofMillis(300);

	private static final int UNLIMITED_TOKENS = 1_000_000;

	// Returns the implementation under test.
	abstract ModelEngine engine();

	abstract BackendServer server(int index);

	abstract EngineFaults faults(int index);

	abstract int dispatches(int index, String tag);

	abstract void setLeaving(int index);

	/**
	 * An injected fault and the expected outcome of the response.
	 */
	enum Fault {

		NOTHING("whole") {
			@Override
			void inject(EngineFaults faults) {
				// No fault is injected.
			}
		},
		TRUNCATED_STREAM("TRUNCATED") {
			@Override
			void inject(EngineFaults faults) {
				faults.truncateAfter(3);
			}
		},
		NO_FINAL_EVENT("TRUNCATED") {
			@Override
			void inject(EngineFaults faults) {
				faults.omitFinalEvent(true);
			}
		},
		CRASH_ON_REQUEST("BROKEN") {
			@Override
			void inject(EngineFaults faults) {
				faults.crashOn("tag");
			}
		},
		TIMEOUT("TIMED_OUT") {
			@Override
			void inject(EngineFaults faults) {
				faults.slowDown(100_000);
			}
		};

		private final String expectedOutcome;

		Fault(String expectedOutcome) {
			this.expectedOutcome = expectedOutcome;
		}

		abstract void inject(EngineFaults faults);

	}

	@ParameterizedTest
	@EnumSource
	void endsOnceAndIsDispatchedOnce(Fault fault) throws Exception {
		fault.inject(faults(CAPABLE));
		RecordingListener listener = new RecordingListener();
		engine().send(server(CAPABLE), chat("s1", "tag", 10, (fault == Fault.TIMEOUT) ? SHORT_TIMEOUT : LONG_TIMEOUT),
				listener);
		assertThat(listener.awaitOutcome()).isEqualTo(fault.expectedOutcome);
		assertThat(listener.endCount()).isOne();
		assertThat(listener.eventsAfterEnd()).isZero();
		assertThat(dispatches(CAPABLE, "tag")).isOne();
	}

	@Test
	void deliversNoEndWhilePaused() throws Exception {
		RecordingListener listener = new RecordingListener();
		Exchange exchange = engine().send(server(CAPABLE), chat("s1", "tag", 400, LONG_TIMEOUT), listener);
		listener.awaitFirstChunk();
		exchange.pause();
		RecordingListener later = new RecordingListener();
		engine().send(server(CAPABLE), chat("s2", "later", 400, LONG_TIMEOUT), later);
		assertThat(later.awaitOutcome()).isEqualTo("whole");
		assertThat(listener.endCount()).isZero();
		exchange.resume();
		assertThat(listener.awaitOutcome()).isEqualTo("whole");
		assertThat(listener.body()).contains("tag:1 ", "tag:400 ");
	}

	@Test
	void cancelsARunOnTheEngine() throws Exception {
		RecordingListener listener = new RecordingListener();
		Exchange exchange = engine().send(server(CAPABLE), chat("s1", "tag", UNLIMITED_TOKENS, LONG_TIMEOUT), listener);
		listener.awaitFirstChunk();
		exchange.cancel();
		assertThat(listener.awaitFailure()).isEqualTo(BackendFailure.CANCELLED);
		until(() -> get(engine().load(server(CAPABLE))).running() == 0);
	}

	@Test
	void reportsWhetherACancelledStreamWasRunning() throws Exception {
		RecordingListener listener = new RecordingListener();
		engine().send(server(CAPABLE), chat("s1", "tag", UNLIMITED_TOKENS, LONG_TIMEOUT), listener);
		listener.awaitFirstChunk();
		assertThat(get(engine().cancel(server(CAPABLE), "s1"))).isTrue();
		assertThat(get(engine().cancel(server(CAPABLE), "s1"))).isFalse();
		assertThat(listener.awaitFailure()).isEqualTo(BackendFailure.TRUNCATED);
	}

	@Test
	void resumesAStreamFromAnyByte() throws Exception {
		RecordingListener first = new RecordingListener();
		Exchange exchange = engine().send(server(CAPABLE), chat("s1", "tag", 300, LONG_TIMEOUT), first);
		first.awaitFirstChunk();
		exchange.detach();
		assertThat(first.awaitFailure()).isEqualTo(BackendFailure.CANCELLED);
		RecordingListener rest = new RecordingListener();
		engine().resume(server(CAPABLE), "s1", first.length(), rest);
		assertThat(rest.awaitOutcome()).isEqualTo("whole");
		assertComplete(first.body() + rest.body(), 300);
		assertThat(dispatches(CAPABLE, "tag")).isOne();
	}

	@Test
	void migratesAStreamByItsExportedCache() throws Exception {
		RecordingListener first = new RecordingListener();
		engine().send(server(CAPABLE), chat("s1", "tag", 300, LONG_TIMEOUT), first);
		first.awaitFirstChunk();
		byte[] cache = get(engine().exportCache(server(CAPABLE), "s1"));
		first.awaitOutcome();
		get(engine().importCache(server(SECOND_CAPABLE), "s1", cache));
		RecordingListener rest = new RecordingListener();
		engine().resume(server(SECOND_CAPABLE), "s1", first.length(), rest);
		assertThat(rest.awaitOutcome()).isEqualTo("whole");
		assertComplete(first.body() + rest.body(), 300);
		assertThat(dispatches(SECOND_CAPABLE, "tag")).isZero();
	}

	@Test
	void failsIfAStreamCannotBeResumed() throws Exception {
		RecordingListener absent = new RecordingListener();
		engine().resume(server(CAPABLE), "absent", 0, absent);
		assertThat(absent.awaitFailure()).isEqualTo(BackendFailure.NOT_SUPPORTED);
		RecordingListener unable = new RecordingListener();
		engine().resume(server(LIMITED), "absent", 0, unable);
		assertThat(unable.awaitFailure()).isEqualTo(BackendFailure.NOT_SUPPORTED);
		assertThat(failureOf(engine().exportCache(server(LIMITED), "absent"))).isEqualTo(BackendFailure.NOT_SUPPORTED);
	}

	@Test
	void reportsItsLoad() throws Exception {
		assertThat(get(engine().load(server(CAPABLE))).running()).isZero();
		RecordingListener listener = new RecordingListener();
		engine().send(server(CAPABLE), chat("s1", "tag", UNLIMITED_TOKENS, LONG_TIMEOUT), listener);
		listener.awaitFirstChunk();
		LoadReport report = get(engine().load(server(CAPABLE)));
		assertThat(report.running()).isOne();
		assertThat(report.backendServer()).isEqualTo(server(CAPABLE).id());
		assertThat(report.resumesStreams()).isTrue();
		assertThat(report.leaving()).isFalse();
		setLeaving(CAPABLE);
		assertThat(get(engine().load(server(CAPABLE))).leaving()).isTrue();
	}

	@Test
	void showsAnOlderStateInLaggingReports() throws Exception {
		assertThat(get(engine().load(server(LAGGING))).running()).isZero();
		RecordingListener listener = new RecordingListener();
		engine().send(server(LAGGING), chat("s1", "tag", UNLIMITED_TOKENS, LONG_TIMEOUT), listener);
		listener.awaitFirstChunk();
		assertThat(get(engine().load(server(LAGGING))).running()).isZero();
		assertThat(get(engine().cacheEvents(server(LAGGING), 0))).isEmpty();
	}

	@Test
	void returnsTheSameCacheEventsInOrderOnEachRead() throws Exception {
		sendPromptsWithDistinctPrefixes(6);
		List<CacheEvent> all = get(engine().cacheEvents(server(CAPABLE), 0));
		assertThat(all).hasSize(6).allMatch(CacheEvent::stored);
		assertThat(all.stream().map(CacheEvent::sequence)).containsExactly(1L, 2L, 3L, 4L, 5L, 6L);
		assertThat(get(engine().cacheEvents(server(CAPABLE), 0))).isEqualTo(all);
		assertThat(get(engine().cacheEvents(server(CAPABLE), 4))).isEqualTo(all.subList(4, 6));
	}

	@Test
	void aLostCacheEventShowsAsAGap() throws Exception {
		sendPromptsWithDistinctPrefixes(6);
		faults(CAPABLE).dropEvents(true);
		assertThat(get(engine().cacheEvents(server(CAPABLE), 0)).stream().map(CacheEvent::sequence)).containsExactly(2L,
				4L, 6L);
	}

	@Test
	void refusesAnOlderOrderOnlyIfTheEngineChecks() {
		EngineOrder newer = new EngineOrder(EngineOrder.Kind.LOAD_ADAPTER, "law", 8);
		EngineOrder older = new EngineOrder(EngineOrder.Kind.LOAD_ADAPTER, "school", 7);
		get(engine().order(server(CAPABLE), newer));
		assertThat(failureOf(engine().order(server(CAPABLE), older))).isEqualTo(BackendFailure.FENCED);
		assertThat(get(engine().currentOrder(server(CAPABLE)))).isEqualTo(newer);
		get(engine().order(server(LIMITED), newer));
		get(engine().order(server(LIMITED), older));
		assertThat(get(engine().currentOrder(server(LIMITED)))).isEqualTo(older);
	}

	@Test
	void acceptsTheSameOrderTwice() {
		EngineOrder order = new EngineOrder(EngineOrder.Kind.CHANGE_ROLE, "prefill", 8);
		get(engine().order(server(CAPABLE), order));
		get(engine().order(server(CAPABLE), order));
		assertThat(get(engine().currentOrder(server(CAPABLE)))).isEqualTo(order);
	}

	@Test
	void appliesAnOrderWhoseResponseIsLost() {
		faults(CAPABLE).dropOrderResponses(true);
		EngineOrder order = new EngineOrder(EngineOrder.Kind.LOAD_MODEL, "m", 8);
		assertThat(failureOf(engine().order(server(CAPABLE), order))).isEqualTo(BackendFailure.BROKEN);
		assertThat(get(engine().currentOrder(server(CAPABLE)))).isEqualTo(order);
	}

	private void sendPromptsWithDistinctPrefixes(int count) throws Exception {
		for (int i = 0; i < count; i++) {
			RecordingListener listener = new RecordingListener();
			String prompt = ("prompt " + i + " ").repeat(60);
			String body = "{\"stream\":true,\"user\":\"u\",\"max_tokens\":1,\"messages\":[{\"content\":\"%s\"}]}"
				.formatted(prompt);
			engine().send(server(CAPABLE), new BackendRequest("p" + i, "POST", "/v1/chat/completions", List.of(),
					body.getBytes(StandardCharsets.UTF_8), Instant.now().plus(LONG_TIMEOUT)), listener);
			assertThat(listener.awaitOutcome()).isEqualTo("whole");
		}
	}

	private static void assertComplete(String body, int tokens) {
		int from = 0;
		for (int i = 1; i <= tokens; i++) {
			from = body.indexOf("\"tag:%d \"".formatted(i), from);
			assertThat(from).as("token %d", i).isPositive();
		}
		assertThat(body.split("\"tag:", -1)).hasSize(tokens + 1);
		assertThat(body).endsWith("data: [DONE]\n\n");
	}

	private static BackendRequest chat(String streamId, String tag, int tokens, Duration timeout) {
		String body = "{\"stream\":true,\"user\":\"%s\",\"max_tokens\":%d,\"messages\":[]}".formatted(tag, tokens);
		return new BackendRequest(streamId, "POST", "/v1/chat/completions", List.of(),
				body.getBytes(StandardCharsets.UTF_8), Instant.now().plus(timeout));
	}

	private static <T> T get(CompletionStage<T> stage) {
		return stage.toCompletableFuture().join();
	}

	private static BackendFailure failureOf(CompletionStage<?> stage) {
		try {
			Object result = stage.toCompletableFuture().join();
			throw new AssertionError("expected a failure but got " + result);
		}
		catch (CompletionException ex) {
			return ((BackendException) ex.getCause()).failure();
		}
	}

	private static void until(BooleanSupplier condition) {
		long end = System.nanoTime() + LONG_TIMEOUT.toNanos();
		while (!condition.getAsBoolean()) {
			if (System.nanoTime() > end) {
				throw new IllegalStateException("condition not met within " + LONG_TIMEOUT);
			}
			LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(1));
		}
	}

}
