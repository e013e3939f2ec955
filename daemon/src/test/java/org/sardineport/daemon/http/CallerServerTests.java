package org.sardineport.daemon.http;

import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.sardineport.core.admission.RunEnd;
import org.sardineport.core.request.RefusalReason;
import org.sardineport.core.request.Tier;
import org.sardineport.standins.engine.EngineOptions;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards that responses reach callers complete and unmixed, also while the server drains.
 */
class CallerServerTests {

	private static final String CHAT = "/v1/chat/completions";

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
	void streamsTheCompleteResponse() throws Exception {
		HttpResponse<String> response = this.fixture.send("POST", CHAT, CallerFixture.chat("amare", 5), (request) -> {
		});
		assertThat(response.statusCode()).isEqualTo(200);
		assertThat(response.headers().firstValue("Content-Type")).hasValue("text/event-stream");
		assertThat(response.headers().firstValue("Sardineport-Request-Id")).isPresent();
		assertThat(response.body()).contains("amare:1 ", "amare:5 ").endsWith("data: [DONE]\n\n");
		assertThat(this.fixture.telemetry.completed(Tier.URGENT).getCount()).isOne();
		this.fixture.assertEnds(RunEnd.COMPLETED);
		assertThat(this.fixture.scheduler.released().get(0).answerTokens()).isEqualTo(5);
	}

	@Test
	void sendsEachCallerItsOwnCompleteResponse() {
		List<CompletableFuture<HttpResponse<String>>> responses = new ArrayList<>();
		int callers = 200;
		for (int i = 0; i < callers; i++) {
			responses.add(this.fixture.client.sendAsync(this.fixture.request("POST", CHAT,
					CallerFixture.chat("caller" + i + "x", 1 + i % 20), (request) -> {
					}), HttpResponse.BodyHandlers.ofString()));
		}
		for (int i = 0; i < callers; i++) {
			String body = responses.get(i).join().body();
			String tag = "caller" + i + "x:";
			assertThat(body).endsWith("data: [DONE]\n\n");
			assertThat(body.split("caller", -1)).hasSize(2 + i % 20);
			assertThat(body.split(tag, -1)).hasSize(2 + i % 20);
		}
		assertThat(this.fixture.engine.counters().dispatches().values()).containsOnly(1).hasSize(callers);
		assertThat(this.fixture.scheduler.released()).hasSize(callers);
	}

	@Test
	void returnsEntryAddresses() throws Exception {
		HttpResponse<String> response = this.fixture.send("GET", "/v1/entry", "", (request) -> {
		});
		assertThat(response.statusCode()).isEqualTo(200);
		assertThat(response.body()).contains(this.fixture.address.toString()).contains("\"keepSeconds\":10");
	}

	@Test
	void forwardsRequestsToPlainServices() throws Exception {
		this.fixture.scheduler.serve(this.fixture.ledgerServer());
		HttpResponse<String> response = this.fixture.send("GET", "/accounts/7?year=2026", "", (request) -> {
		});
		assertThat(response.statusCode()).isEqualTo(200);
		assertThat(response.body()).contains("/accounts/7");
	}

	@Test
	void completesInFlightRequestsAfterRefusingNewOnes() throws Exception {
		CompletableFuture<HttpResponse<String>> running = this.fixture.client
			.sendAsync(this.fixture.request("POST", CHAT, CallerFixture.chat("long", 300), (request) -> {
			}), HttpResponse.BodyHandlers.ofString());
		while (this.fixture.engine.counters().prefillTokens() == 0) {
			Thread.onSpinWait();
		}
		this.fixture.server.refuseNewRequests();
		HttpResponse<String> refused = this.fixture.send("POST", CHAT, CallerFixture.chat("late", 1), (request) -> {
		});
		assertThat(refused.statusCode()).isEqualTo(RefusalReason.STOPPING.status());
		assertThat(running.join().body()).endsWith("data: [DONE]\n\n");
		CallerFixture.await(this.fixture.server.whenDrained());
		assertThat(this.fixture.engine.counters().dispatches()).doesNotContainKey("late");
	}

	// Guards against a series of refusals as not ready right after a planned restart.
	@Test
	void requestWaitsWhileTheDaemonReadsTheConfigurationAfterItsStart() {
		this.fixture.ready = false;
		CompletableFuture<HttpResponse<String>> answer = sendWhileStarting();
		this.fixture.ready = true;
		assertThat(answer.join().body()).contains("early:1 ").endsWith("data: [DONE]\n\n");
	}

	// Guards against refusals for want of backend servers that are not read yet.
	@Test
	void requestWaitsWhileTheDaemonReadsTheBackendServersAfterItsStart() {
		this.fixture.backendsListed = false;
		CompletableFuture<HttpResponse<String>> answer = sendWhileStarting();
		this.fixture.backendsListed = true;
		assertThat(answer.join().body()).contains("early:1 ").endsWith("data: [DONE]\n\n");
	}

	// Guards against requests that are held for good if the list cannot be read.
	@Test
	void requestIsRefusedIfTheBackendServersAreNotRead() {
		this.fixture.backendsListed = false;
		HttpResponse<String> response = sendWhileStarting().join();
		assertThat(response.statusCode()).isEqualTo(RefusalReason.NOT_READY.status());
		assertThat(response.body()).contains("not-ready", "list of backend servers", "entries");
		assertThat(this.fixture.engine.counters().dispatches()).isEmpty();
	}

	private CompletableFuture<HttpResponse<String>> sendWhileStarting() {
		CompletableFuture<HttpResponse<String>> answer = this.fixture.client
			.sendAsync(this.fixture.request("POST", CHAT, CallerFixture.chat("early", 2), (request) -> {
			}), HttpResponse.BodyHandlers.ofString());
		while (this.fixture.server.inFlight() == 0 && !answer.isDone()) {
			Thread.onSpinWait();
		}
		return answer;
	}

}
