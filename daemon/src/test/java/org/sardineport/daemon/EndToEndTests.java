package org.sardineport.daemon;

import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.sardineport.standins.engine.EngineOptions;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Sends requests through each daemon of a fleet to model engines and a plain service.
 */
class EndToEndTests {

	private FleetFixture fleet;

	@BeforeEach
	void start() throws Exception {
		this.fleet = new FleetFixture(3, EngineOptions.fast());
		this.fleet.awaitReady();
	}

	@AfterEach
	void stop() throws Exception {
		this.fleet.close();
	}

	@Test
	void completesConcurrentRequestsThroughAnyDaemon() {
		List<CompletableFuture<HttpResponse<String>>> answers = new ArrayList<>();
		for (int i = 0; i < 60; i++) {
			answers.add(this.fleet.client.sendAsync(
					this.fleet.request(i % 3, "POST", "/v1/chat/completions",
							FleetFixture.chatRequest("c" + i + "x", 5), Map.of()),
					HttpResponse.BodyHandlers.ofString()));
		}
		for (int i = 0; i < answers.size(); i++) {
			HttpResponse<String> answer = answers.get(i).join();
			assertThat(answer.statusCode()).as(answer.body()).isEqualTo(200);
			assertThat(answer.body()).contains("c" + i + "x:5 ").endsWith("data: [DONE]\n\n");
		}
		assertThat(this.fleet.engines.stream().mapToInt((engine) -> engine.counters().dispatches().size()).sum())
			.isEqualTo(60);
	}

	@Test
	void reachesThePlainServiceThroughAnyDaemon() throws Exception {
		for (int i = 0; i < 3; i++) {
			HttpResponse<String> answer = this.fleet.send(i, "GET", "/accounts/" + i, "", Map.of());
			assertThat(answer.statusCode()).as(answer.body()).isEqualTo(200);
			assertThat(answer.body()).contains("/accounts/" + i);
		}
	}

}
