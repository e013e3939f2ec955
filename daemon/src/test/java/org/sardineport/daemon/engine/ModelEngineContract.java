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
 * What each adapter to model engines must do, faults included. There are two able
 * engines, one that neither resumes streams nor checks fencing numbers, and one whose
 * reports lag far behind.
 */
abstract class ModelEngineContract {

	static final int ABLE = 0;

	static final int OTHER = 1;

	static final int UNABLE = 2;

	static final int LAGGING = 3;

	private static final Duration LONG = Duration.ofSeconds(15);

	private static final Duration SHORT = Duration.ofMillis(300);

	private static final int ENDLESS = 1_000_000;

	// The adapter under test.
	abstract ModelEngine engine();

	abstract BackendServer server(int index);

	abstract EngineFaults faults(int index);

	abstract int dispatches(int index, String tag);

	abstract void setLeaving(int index);

	/**
	 * What goes wrong, and how the answer must end.
	 */
	enum Fault {

		NOTHING("whole") {
			@Override
			void inject(EngineFaults faults) {
				// nothing goes wrong
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
		CRASH_ON_THE_REQUEST("BROKEN") {
			@Override
			void inject(EngineFaults faults) {
				faults.crashOn("tag");
			}
		},
		TIME_OUT("TIMED_OUT") {
			@Override
			void inject(EngineFaults faults) {
				faults.slowDown(100_000);
			}
		};

		private final String ending;

		Fault(String ending) {
			this.ending = ending;
		}

		abstract void inject(EngineFaults faults);

	}

	@ParameterizedTest
	@EnumSource
	void endsOnceAndIsDispatchedOnce(Fault fault) throws Exception {
		fault.inject(faults(ABLE));
		RecordingListener listener = new RecordingListener();
		engine().send(server(ABLE), chat("s1", "tag", 10, (fault == Fault.TIME_OUT) ? SHORT : LONG), listener);
		assertThat(listener.ending()).isEqualTo(fault.ending);
		assertThat(listener.endings()).isOne();
		assertThat(listener.eventsAfterTheEnd()).isZero();
		assertThat(dispatches(ABLE, "tag")).isOne();
	}

	@Test
	void holdsBackChunksWhilePaused() throws Exception {
		RecordingListener listener = new RecordingListener();
		Exchange exchange = engine().send(server(ABLE), chat("s1", "tag", 400, LONG), listener);
		listener.awaitFirstChunk();
		exchange.pause();
		RecordingListener later = new RecordingListener();
		engine().send(server(ABLE), chat("s2", "later", 400, LONG), later);
		assertThat(later.ending()).isEqualTo("whole");
		assertThat(listener.endings()).isZero();
		exchange.resume();
		assertThat(listener.ending()).isEqualTo("whole");
		assertThat(listener.body()).contains("tag:1 ", "tag:400 ");
	}

	@Test
	void cancelsARunOnTheEngine() throws Exception {
		RecordingListener listener = new RecordingListener();
		Exchange exchange = engine().send(server(ABLE), chat("s1", "tag", ENDLESS, LONG), listener);
		listener.awaitFirstChunk();
		exchange.cancel();
		assertThat(listener.failure()).isEqualTo(BackendFailure.CANCELLED);
		until(() -> get(engine().load(server(ABLE))).running() == 0);
	}

	@Test
	void tellsWhetherACancelledStreamRan() throws Exception {
		RecordingListener listener = new RecordingListener();
		engine().send(server(ABLE), chat("s1", "tag", ENDLESS, LONG), listener);
		listener.awaitFirstChunk();
		assertThat(get(engine().cancel(server(ABLE), "s1"))).isTrue();
		assertThat(get(engine().cancel(server(ABLE), "s1"))).isFalse();
		assertThat(listener.failure()).isEqualTo(BackendFailure.TRUNCATED);
	}

	@Test
	void resumesAStreamFromAnyByte() throws Exception {
		RecordingListener first = new RecordingListener();
		Exchange exchange = engine().send(server(ABLE), chat("s1", "tag", 300, LONG), first);
		first.awaitFirstChunk();
		exchange.detach();
		assertThat(first.failure()).isEqualTo(BackendFailure.CANCELLED);
		RecordingListener rest = new RecordingListener();
		engine().resume(server(ABLE), "s1", first.length(), rest);
		assertThat(rest.ending()).isEqualTo("whole");
		assertWholeAnswer(first.body() + rest.body(), 300);
		assertThat(dispatches(ABLE, "tag")).isOne();
	}

	@Test
	void movesAStreamByItsCache() throws Exception {
		RecordingListener first = new RecordingListener();
		engine().send(server(ABLE), chat("s1", "tag", 300, LONG), first);
		first.awaitFirstChunk();
		byte[] cache = get(engine().exportCache(server(ABLE), "s1"));
		first.ending();
		get(engine().importCache(server(OTHER), "s1", cache));
		RecordingListener rest = new RecordingListener();
		engine().resume(server(OTHER), "s1", first.length(), rest);
		assertThat(rest.ending()).isEqualTo("whole");
		assertWholeAnswer(first.body() + rest.body(), 300);
		assertThat(dispatches(OTHER, "tag")).isZero();
	}

	@Test
	void saysSoIfAStreamCannotBeResumed() throws Exception {
		RecordingListener absent = new RecordingListener();
		engine().resume(server(ABLE), "absent", 0, absent);
		assertThat(absent.failure()).isEqualTo(BackendFailure.NOT_SUPPORTED);
		RecordingListener unable = new RecordingListener();
		engine().resume(server(UNABLE), "absent", 0, unable);
		assertThat(unable.failure()).isEqualTo(BackendFailure.NOT_SUPPORTED);
		assertThat(failureOf(engine().exportCache(server(UNABLE), "absent"))).isEqualTo(BackendFailure.NOT_SUPPORTED);
	}

	@Test
	void reportsItsLoad() throws Exception {
		assertThat(get(engine().load(server(ABLE))).running()).isZero();
		RecordingListener listener = new RecordingListener();
		engine().send(server(ABLE), chat("s1", "tag", ENDLESS, LONG), listener);
		listener.awaitFirstChunk();
		LoadReport report = get(engine().load(server(ABLE)));
		assertThat(report.running()).isOne();
		assertThat(report.backendServer()).isEqualTo(server(ABLE).id());
		assertThat(report.resumesStreams()).isTrue();
		assertThat(report.leaving()).isFalse();
		setLeaving(ABLE);
		assertThat(get(engine().load(server(ABLE))).leaving()).isTrue();
	}

	@Test
	void reportsThatLagShowAnOlderState() throws Exception {
		assertThat(get(engine().load(server(LAGGING))).running()).isZero();
		RecordingListener listener = new RecordingListener();
		engine().send(server(LAGGING), chat("s1", "tag", ENDLESS, LONG), listener);
		listener.awaitFirstChunk();
		assertThat(get(engine().load(server(LAGGING))).running()).isZero();
		assertThat(get(engine().cacheEvents(server(LAGGING), 0))).isEmpty();
	}

	@Test
	void tellsCacheEventsInOrderAndAgainIfAsked() throws Exception {
		promptsOfDifferentPrefixes(6);
		List<CacheEvent> all = get(engine().cacheEvents(server(ABLE), 0));
		assertThat(all).hasSize(6).allMatch(CacheEvent::stored);
		assertThat(all.stream().map(CacheEvent::sequence)).containsExactly(1L, 2L, 3L, 4L, 5L, 6L);
		assertThat(get(engine().cacheEvents(server(ABLE), 0))).isEqualTo(all);
		assertThat(get(engine().cacheEvents(server(ABLE), 4))).isEqualTo(all.subList(4, 6));
	}

	@Test
	void aLostCacheEventShowsAsAGap() throws Exception {
		promptsOfDifferentPrefixes(6);
		faults(ABLE).dropEvents(true);
		assertThat(get(engine().cacheEvents(server(ABLE), 0)).stream().map(CacheEvent::sequence)).containsExactly(2L,
				4L, 6L);
	}

	@Test
	void refusesAnOlderOrderOnlyIfTheEngineChecks() {
		EngineOrder newer = new EngineOrder(EngineOrder.Kind.LOAD_ADAPTER, "law", 8);
		EngineOrder older = new EngineOrder(EngineOrder.Kind.LOAD_ADAPTER, "school", 7);
		get(engine().order(server(ABLE), newer));
		assertThat(failureOf(engine().order(server(ABLE), older))).isEqualTo(BackendFailure.FENCED);
		assertThat(get(engine().currentOrder(server(ABLE)))).isEqualTo(newer);
		get(engine().order(server(UNABLE), newer));
		get(engine().order(server(UNABLE), older));
		assertThat(get(engine().currentOrder(server(UNABLE)))).isEqualTo(older);
	}

	@Test
	void takesTheSameOrderTwice() {
		EngineOrder order = new EngineOrder(EngineOrder.Kind.CHANGE_ROLE, "prefill", 8);
		get(engine().order(server(ABLE), order));
		get(engine().order(server(ABLE), order));
		assertThat(get(engine().currentOrder(server(ABLE)))).isEqualTo(order);
	}

	@Test
	void anOrderWhoseAnswerIsLostMayHaveTakenEffect() {
		faults(ABLE).dropOrderResponses(true);
		EngineOrder order = new EngineOrder(EngineOrder.Kind.LOAD_MODEL, "m", 8);
		assertThat(failureOf(engine().order(server(ABLE), order))).isEqualTo(BackendFailure.BROKEN);
		assertThat(get(engine().currentOrder(server(ABLE)))).isEqualTo(order);
	}

	private void promptsOfDifferentPrefixes(int count) throws Exception {
		for (int i = 0; i < count; i++) {
			RecordingListener listener = new RecordingListener();
			String prompt = ("prompt " + i + " ").repeat(60);
			String body = "{\"stream\":true,\"user\":\"u\",\"max_tokens\":1,\"messages\":[{\"content\":\"%s\"}]}"
				.formatted(prompt);
			engine().send(server(ABLE), new BackendRequest("p" + i, "POST", "/v1/chat/completions", List.of(),
					body.getBytes(StandardCharsets.UTF_8), Instant.now().plus(LONG)), listener);
			assertThat(listener.ending()).isEqualTo("whole");
		}
	}

	private static void assertWholeAnswer(String body, int tokens) {
		int from = 0;
		for (int i = 1; i <= tokens; i++) {
			from = body.indexOf("\"tag:%d \"".formatted(i), from);
			assertThat(from).as("token %d", i).isPositive();
		}
		assertThat(body.split("\"tag:", -1)).hasSize(tokens + 1);
		assertThat(body).endsWith("data: [DONE]\n\n");
	}

	private static BackendRequest chat(String streamId, String tag, int tokens, Duration patience) {
		String body = "{\"stream\":true,\"user\":\"%s\",\"max_tokens\":%d,\"messages\":[]}".formatted(tag, tokens);
		return new BackendRequest(streamId, "POST", "/v1/chat/completions", List.of(),
				body.getBytes(StandardCharsets.UTF_8), Instant.now().plus(patience));
	}

	private static <T> T get(CompletionStage<T> stage) {
		return stage.toCompletableFuture().join();
	}

	private static BackendFailure failureOf(CompletionStage<?> stage) {
		try {
			Object result = stage.toCompletableFuture().join();
			throw new AssertionError("no failure but " + result);
		}
		catch (CompletionException ex) {
			return ((BackendException) ex.getCause()).failure();
		}
	}

	private static void until(BooleanSupplier condition) {
		long end = System.nanoTime() + LONG.toNanos();
		while (!condition.getAsBoolean()) {
			if (System.nanoTime() > end) {
				throw new IllegalStateException("the condition did not come true within " + LONG);
			}
			LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(1));
		}
	}

}
