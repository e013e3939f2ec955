package org.sardineport.daemon.http;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.sardineport.core.admission.RunEnd;
import org.sardineport.core.admission.SchedulingRequest;
import org.sardineport.core.backend.BackendKind;
import org.sardineport.core.backend.SoftwareVersion;
import org.sardineport.core.request.RefusalReason;
import org.sardineport.standins.engine.EngineOptions;
import org.sardineport.standins.engine.ModelEngineStandIn;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/**
 * Guards the handling of preempted requests: resume on another engine if possible,
 * otherwise fail a cancellable request and keep a durable one running.
 */
class PreemptedRequestTests {

	private static final String CHAT = "/v1/chat/completions";

	private static final String DURABLE = "/v1/completions";

	private static final SoftwareVersion V1 = SoftwareVersion.of("v1");

	private static final int TOKENS = 200;

	private static final EngineOptions RESUMABLE = EngineOptions.fast()
		.withSpeed(100_000, Duration.ofMillis(2))
		.withAbilities(true, true);

	private static final EngineOptions NOT_RESUMABLE = RESUMABLE.withAbilities(true, false);

	private CallerFixture fixture;

	@AfterEach
	void stop() {
		this.fixture.close();
	}

	@Test
	void streamResumesOnAnotherEngine() {
		this.fixture = new CallerFixture(RESUMABLE);
		ModelEngineStandIn second = this.fixture.startSecondEngine(RESUMABLE);
		this.fixture.scheduler.serve(this.fixture.engineServer(),
				CallerFixture.server("second", BackendKind.MODEL_ENGINE, second.address()));
		CompletableFuture<HttpResponse<String>> running = preemptWhileRunning(CHAT, Map.of());
		assertComplete(running.join());
		assertThat(this.fixture.scheduler.granted()).hasSize(2);
		assertThat(this.fixture.scheduler.ends()).containsExactly(RunEnd.CANCELLED, RunEnd.COMPLETED);
		assertThat(this.fixture.engine.counters().dispatches()).containsExactly(Map.entry("draft", 1));
		assertThat(second.counters().dispatches()).isEmpty();
		assertThat(second.counters().prefillTokens()).isZero();
	}

	// The KV cache and the rest of the stream would go to an engine of another version.
	@Test
	void streamAsksToResumeOnTheVersionThatBeganIt() {
		this.fixture = new CallerFixture(RESUMABLE);
		ModelEngineStandIn second = this.fixture.startSecondEngine(RESUMABLE);
		this.fixture.scheduler.serve(this.fixture.engineServer().withSoftwareVersion(V1),
				CallerFixture.server("second", BackendKind.MODEL_ENGINE, second.address()).withSoftwareVersion(V1));
		assertComplete(preemptWhileRunning(CHAT, Map.of()).join());
		assertThat(this.fixture.scheduler.requests()).extracting(SchedulingRequest::requiredVersion)
			.containsExactly(null, V1);
	}

	@Test
	void cancellableRequestFailsWhenTheEngineCannotResume() {
		this.fixture = new CallerFixture(NOT_RESUMABLE);
		CompletableFuture<HttpResponse<String>> running = preemptWhileRunning(CHAT, Map.of());
		assertThatThrownBy(running::join).hasCauseInstanceOf(IOException.class);
		assertThat(this.fixture.refusalCount(RefusalReason.PREEMPTED)).isOne();
		assertThat(this.fixture.scheduler.ends()).containsExactly(RunEnd.CANCELLED);
	}

	@Test
	void durableRequestKeepsRunningWhenTheEngineCannotResume() {
		this.fixture = new CallerFixture(NOT_RESUMABLE);
		assertComplete(
				preemptWhileRunning(DURABLE, Map.of("Idempotency-Key", TestKeys.create(this.fixture.clock))).join());
		assertThat(this.fixture.scheduler.ends()).containsExactly(RunEnd.COMPLETED);
		assertThat(this.fixture.refusalCount(RefusalReason.PREEMPTED)).isZero();
	}

	private CompletableFuture<HttpResponse<String>> preemptWhileRunning(String path, Map<String, String> headers) {
		CompletableFuture<HttpResponse<String>> running = this.fixture.client.sendAsync(this.fixture.request("POST",
				path, CallerFixture.chat("draft", TOKENS), (request) -> headers.forEach(request::setHeader)),
				HttpResponse.BodyHandlers.ofString());
		while (this.fixture.engine.counters().prefillTokens() == 0) {
			Thread.onSpinWait();
		}
		this.fixture.scheduler.preemptLast();
		return running;
	}

	private static void assertComplete(HttpResponse<String> response) {
		assertThat(response.statusCode()).isEqualTo(200);
		assertThat(response.body()).endsWith("data: [DONE]\n\n");
		String tokens = IntStream.rangeClosed(1, TOKENS)
			.mapToObj((token) -> "draft:" + token + " ")
			.collect(Collectors.joining());
		assertThat(contents(response.body())).isEqualTo(tokens);
	}

	private static String contents(String events) {
		return java.util.regex.Pattern.compile("\"content\":\"([^\"]*)\"")
			.matcher(events)
			.results()
			.map((result) -> result.group(1))
			.collect(Collectors.joining());
	}

}
