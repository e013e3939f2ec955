package org.sardineport.daemon.http;

import java.net.http.HttpResponse;
import java.time.InstantSource;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.sardineport.core.admission.Permit;
import org.sardineport.core.admission.RunEnd;
import org.sardineport.core.journal.DispatchDecision;
import org.sardineport.core.request.RefusalReason;
import org.sardineport.standins.engine.EngineOptions;
import org.sardineport.standins.service.ServiceFault;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against truncated streams that look complete, runs that continue after their
 * caller disconnects, unlimited buffering for slow readers, and keyed requests that run
 * twice.
 */
class CallerStreamTests {

	private static final String CHAT = "POST /v1/chat/completions";

	private static final String KEY = TestKeys.create(InstantSource.system());

	private CallerFixture fixture;

	@BeforeEach
	void start() {
		this.fixture = new CallerFixture(EngineOptions.fast());
	}

	@AfterEach
	void stop() {
		this.fixture.close();
	}

	@Test
	void abortsAStreamThatTheEngineTruncates() throws Exception {
		this.fixture.engine.faults().truncateAfter(3);
		assertAborted(read(CallerFixture.chat("broken", 20)));
	}

	@Test
	void abortsAStreamThatEndsWithoutItsFinalEvent() throws Exception {
		this.fixture.engine.faults().omitFinalEvent(true);
		assertAborted(read(CallerFixture.chat("endless", 3)));
	}

	@Test
	void doesNotCompleteATruncatedResponse() throws Exception {
		this.fixture.scheduler.serve(this.fixture.ledgerServer());
		this.fixture.ledger.setFault(ServiceFault.TRUNCATED);
		try (RawCaller caller = new RawCaller(this.fixture.address)) {
			caller.sendHead("GET /accounts/7");
			String response = caller.readAll();
			assertThat(response).contains("Content-Length: 1000").endsWith("{\"key\":");
		}
		waitUntil(() -> this.fixture.refusalCount(RefusalReason.ANSWER_TRUNCATED) == 1);
	}

	@Test
	void cancelsTheRunWhenTheCallerDisconnects() throws Exception {
		try (RawCaller caller = new RawCaller(this.fixture.address)) {
			String body = CallerFixture.chat("leaver", 100_000);
			caller.sendHead(CHAT, "Content-Length: " + body.length());
			caller.send(body);
			caller.readUntil("leaver:3 ");
		}
		waitUntil(() -> this.fixture.engine.counters().cancelled() == 1);
		waitUntil(() -> this.fixture.scheduler.ends().contains(RunEnd.CANCELLED));
		assertThat(this.fixture.refusalCount(RefusalReason.CALLER_GONE)).isOne();
	}

	@Test
	void abandonsAWaitingRequestWhenTheCallerDisconnects() throws Exception {
		this.fixture.scheduler.hold();
		try (RawCaller caller = new RawCaller(this.fixture.address)) {
			caller.sendHead(CHAT, "Content-Length: 2");
			caller.send("{}");
			waitUntil(() -> this.fixture.scheduler.submitted().size() == 1);
		}
		waitUntil(() -> this.fixture.scheduler.abandoned().size() == 1);
		waitUntil(() -> this.fixture.runner.inFlight() == 0);
		this.fixture.scheduler.grantAbandoned();
		waitUntil(() -> this.fixture.scheduler.ends().contains(RunEnd.UNUSED));
		assertThat(this.fixture.engine.counters().dispatches()).isEmpty();
		assertThat(this.fixture.refusalCount(RefusalReason.CALLER_GONE)).isOne();
	}

	@Test
	void dropsARequestWhoseCallerDisconnectsWhileSendingTheBody() throws Exception {
		try (RawCaller caller = new RawCaller(this.fixture.address)) {
			caller.sendHead(CHAT, "Content-Length: 20");
			caller.send("{");
			waitUntil(() -> this.fixture.server.inFlight() == 1);
		}
		waitUntil(() -> this.fixture.server.inFlight() == 0);
		assertThat(this.fixture.scheduler.submitted()).isEmpty();
	}

	@Test
	void refusesABodyThatArrivesTooSlowly() throws Exception {
		try (RawCaller caller = new RawCaller(this.fixture.address)) {
			caller.sendHead(CHAT, "Content-Length: 20");
			caller.send("{");
			String response = caller.readAll();
			assertThat(response).startsWith("HTTP/1.1 408 ").contains("body-too-slow", "not-run");
		}
		assertThat(this.fixture.scheduler.submitted()).isEmpty();
	}

	@Test
	void refusesAChunkedBodyOverTheLimit() throws Exception {
		try (RawCaller caller = new RawCaller(this.fixture.address)) {
			caller.sendHead("POST /postings", "Idempotency-Key: " + KEY, "Transfer-Encoding: chunked");
			caller.send("400\r\n" + "x".repeat(1024) + "\r\n");
			assertThat(caller.readUntil("\"remedy\"")).startsWith("HTTP/1.1 413 ").contains("body-too-large");
		}
	}

	@Test
	void rejectsMalformedHeaders() throws Exception {
		try (RawCaller caller = new RawCaller(this.fixture.address)) {
			caller.send("GET /accounts/7 HTTP/1.1\r\nHost: x\r\nSardineport-Profile: dictionary\r\n"
					+ "Sardineport-Organisation: schools\u0000x\r\n\r\n");
			assertThat(caller.readUntil("\r\n")).startsWith("HTTP/1.1 400 ");
		}
		try (RawCaller caller = new RawCaller(this.fixture.address)) {
			caller.sendHead("GET /accounts/7", "X-Evil : 1");
			assertThat(caller.readUntil("\r\n")).startsWith("HTTP/1.1 400 ");
		}
		assertThat(this.fixture.scheduler.submitted()).isEmpty();
	}

	@Test
	void appliesBackpressureToTheEngineForASlowReader() throws Exception {
		int tokens = 60_000;
		this.fixture.engine.faults().slowDown(1);
		String body = CallerFixture.chat("x".repeat(1000), tokens);
		try (RawCaller caller = new RawCaller(this.fixture.address)) {
			caller.sendHead(CHAT, "Content-Length: " + body.length());
			caller.send(body);
			caller.readUntil(":1 ");
			waitUntil(this.fixture.engine::hasAppliedBackpressure);
		}
		waitUntil(() -> this.fixture.runner.inFlight() == 0);
	}

	@Test
	void reportsPreemptionOfARunThatCannotResume() throws Exception {
		try (CallerFixture fixed = new CallerFixture(EngineOptions.fast().withAbilities(true, false))) {
			CompletableFuture<HttpResponse<String>> future = fixed.client.sendAsync(
					fixed.request("POST", "/v1/chat/completions", CallerFixture.chat("low", 100_000), (request) -> {
					}), HttpResponse.BodyHandlers.ofString());
			waitUntil(() -> fixed.engine.counters().prefillTokens() > 0);
			Permit permit = fixed.scheduler.granted().get(0);
			fixed.scheduler.preempt(permit);
			assertThat(future.handle((response, failure) -> failure).join()).isNotNull();
			assertThat(fixed.refusalCount(RefusalReason.PREEMPTED)).isOne();
			assertThat(fixed.scheduler.ends()).containsExactly(RunEnd.CANCELLED);
		}
	}

	@Test
	void runsAPostingOnceAndReplaysItsResponse() throws Exception {
		this.fixture.scheduler.serve(this.fixture.ledgerServer());
		HttpResponse<String> first = posting("{\"amount\":1}");
		HttpResponse<String> second = posting("{\"amount\":1}");
		HttpResponse<String> other = posting("{\"amount\":2}");
		assertThat(first.statusCode()).isEqualTo(201);
		assertThat(second.statusCode()).isEqualTo(201);
		assertThat(second.body()).isEqualTo(first.body());
		assertThat(other.statusCode()).isEqualTo(RefusalReason.KEY_REUSED.status());
		assertThat(this.fixture.ledger.executions()).containsExactly(Map.entry(KEY, 1));
		HttpResponse<String> lookup = this.fixture.send("GET", "/v1/requests/" + KEY, "", (request) -> {
		});
		assertThat(lookup.body()).isEqualTo(first.body());
	}

	@Test
	void reportsUnknownOutcomeIfThePostingsResponseIsLost() throws Exception {
		this.fixture.scheduler.serve(this.fixture.ledgerServer());
		this.fixture.ledger.setFault(ServiceFault.RESPONSE_LOST);
		HttpResponse<String> first = posting("{}");
		this.fixture.ledger.setFault(ServiceFault.NONE);
		HttpResponse<String> second = posting("{}");
		assertThat(first.body()).contains("\"outcome\":\"unknown\"");
		assertThat(second.body()).contains("\"outcome\":\"unknown\"");
		assertThat(this.fixture.ledger.executions()).containsExactly(Map.entry(KEY, 1));
	}

	@Test
	void doesNotDispatchAPostingWhoseCallerHasDisconnected() throws Exception {
		this.fixture.scheduler.serve(this.fixture.ledgerServer());
		CompletableFuture<DispatchDecision> decision = this.fixture.journal.holdDispatch();
		try (RawCaller caller = new RawCaller(this.fixture.address)) {
			caller.sendHead("POST /postings", "Idempotency-Key: " + KEY, "Content-Length: 2");
			caller.send("{}");
			waitUntil(() -> this.fixture.scheduler.granted().size() == 1);
		}
		waitUntil(() -> this.fixture.server.inFlight() == 0);
		decision.complete(new DispatchDecision.Won());
		waitUntil(() -> this.fixture.runner.inFlight() == 0);
		assertThat(this.fixture.ledger.executions()).isEmpty();
		assertThat(this.fixture.scheduler.ends()).containsExactly(RunEnd.UNUSED);
	}

	@Test
	void runsDurableRequestsAsynchronouslyWhenPreferred() throws Exception {
		HttpResponse<String> accepted = this.fixture.send("POST", "/v1/completions", CallerFixture.chat("draft", 30),
				(request) -> request.header("Idempotency-Key", KEY).header("Prefer", "respond-async"));
		assertThat(accepted.statusCode()).isEqualTo(202);
		assertThat(accepted.headers().firstValue("Location")).hasValue("/v1/requests/" + KEY);
		CallerFixture.await(this.fixture.runner.whenDrained());
		HttpResponse<String> response = this.fixture.send("GET", "/v1/requests/" + KEY, "", (request) -> {
		});
		assertThat(response.body()).contains("draft:30 ").endsWith("data: [DONE]\n\n");
	}

	@Test
	void findsKeysWithSpecialCharacters() throws Exception {
		String key = "entry/7?part=%41+b";
		HttpResponse<String> accepted = this.fixture.send("POST", "/v1/completions", CallerFixture.chat("odd", 2),
				(request) -> request.header("Idempotency-Key", key)
					.header("Sardineport-Issued-At", this.fixture.clock.instant().toString())
					.header("Prefer", "respond-async"));
		CallerFixture.await(this.fixture.runner.whenDrained());
		String location = accepted.headers().firstValue("Location").orElseThrow();
		assertThat(this.fixture.send("GET", location, "", (request) -> {
		}).body()).contains("odd:2 ");
		assertThat(this.fixture.send("GET", "/v1/requests/absent", "", (request) -> {
		}).statusCode()).isEqualTo(404);
	}

	private HttpResponse<String> posting(String body) throws Exception {
		return this.fixture.send("POST", "/postings", body, (request) -> request.header("Idempotency-Key", KEY));
	}

	private String read(String body) throws Exception {
		try (RawCaller caller = new RawCaller(this.fixture.address)) {
			caller.sendHead(CHAT, "Content-Length: " + body.length());
			caller.send(body);
			return caller.readAll();
		}
	}

	private void assertAborted(String response) {
		assertThat(response).startsWith("HTTP/1.1 200 ").contains("event: error\ndata: {", "\"outcome\":\"unknown\"");
		assertThat(response).doesNotContain("\r\n0\r\n");
		assertThat(this.fixture.refusalCount(RefusalReason.ANSWER_TRUNCATED)).isOne();
		assertThat(this.fixture.scheduler.ends()).containsExactly(RunEnd.BROKEN);
		assertThat(this.fixture.scheduler.crashes()).hasSize(1);
	}

	static void waitUntil(BooleanSupplier condition) {
		long deadline = System.nanoTime() + CallerFixture.DEADLINE.toNanos();
		while (!condition.getAsBoolean()) {
			if (System.nanoTime() > deadline) {
				throw new IllegalStateException("the condition was not met within " + CallerFixture.DEADLINE);
			}
			LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(1));
		}
	}

}
