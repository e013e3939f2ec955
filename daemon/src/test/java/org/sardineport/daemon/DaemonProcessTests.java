package org.sardineport.daemon;

import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.sardineport.standins.engine.EngineOptions;
import org.sardineport.standins.service.ServiceFault;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests the termination and the crash of a daemon in a separate process while another
 * daemon of the fleet keeps running.
 */
class DaemonProcessTests {

	private static final int SURVIVING_DAEMON = 0;

	private static final int STOPPED_DAEMON = 1;

	@TempDir
	private Path directory;

	private FleetFixture fleet;

	private DaemonProcess process;

	@BeforeEach
	void start() throws Exception {
		this.fleet = new FleetFixture(1, EngineOptions.fast());
		this.process = this.fleet.startProcess(this.directory);
		this.fleet.awaitReady();
	}

	@AfterEach
	void stop() throws Exception {
		this.process.close();
		this.fleet.close();
	}

	@Test
	void completesRunningResponsesOnTermination() throws Exception {
		CompletableFuture<HttpResponse<String>> response = this.fleet.client.sendAsync(this.fleet
			.request(STOPPED_DAEMON, "POST", "/v1/chat/completions", FleetFixture.chatRequest("long", 1500), Map.of()),
				HttpResponse.BodyHandlers.ofString());
		FleetFixture.awaitCondition(() -> dispatched("long") == 1 || response.isDone());
		this.process.terminate();
		this.process.terminate();
		assertThat(response.join().body()).contains("long:1500 ").endsWith("data: [DONE]\n\n");
		assertThat(this.process.exitStatus()).isZero();
		assertThat(dispatched("long")).isOne();
	}

	@Test
	void takesOverDurableWorkOfAKilledDaemon() throws Exception {
		String key = FleetFixture.newIdempotencyKey();
		HttpResponse<String> accepted = this.fleet.send(STOPPED_DAEMON, "POST", "/v1/completions",
				FleetFixture.chatRequest("draft", 3000), Map.of("Idempotency-Key", key, "Prefer", "respond-async"));
		assertThat(accepted.statusCode()).as(accepted.body()).isEqualTo(202);
		FleetFixture.awaitCondition(() -> dispatched("draft") == 1);
		this.process.kill();
		this.fleet.removeSettings(this.process);
		FleetFixture.awaitCondition(() -> lookup(key).contains("data: [DONE]"));
		assertThat(lookup(key)).contains("draft:1 ", "draft:3000 ");
		assertThat(dispatched("draft")).isOne();
	}

	@Test
	void reportsAnUnknownOutcomeOfAKilledDaemonAndDoesNotExecuteAgain() throws Exception {
		String key = FleetFixture.newIdempotencyKey();
		this.fleet.ledger.setFault(ServiceFault.SILENT);
		CompletableFuture<HttpResponse<String>> lost = this.fleet.client.sendAsync(
				this.fleet.request(STOPPED_DAEMON, "POST", "/postings", "{}", Map.of("Idempotency-Key", key)),
				HttpResponse.BodyHandlers.ofString());
		FleetFixture.awaitCondition(() -> this.fleet.ledger.executions().containsKey(key));
		this.process.kill();
		this.fleet.removeSettings(this.process);
		this.fleet.ledger.setFault(ServiceFault.NONE);
		assertThat(lost.handle((response, failure) -> failure).join()).isNotNull();
		HttpResponse<String> again = this.fleet.send(SURVIVING_DAEMON, "POST", "/postings", "{}",
				Map.of("Idempotency-Key", key));
		assertThat(again.body()).contains("\"outcome\":\"unknown\"");
		assertThat(this.fleet.ledger.executions()).containsExactly(Map.entry(key, 1));
	}

	private String lookup(String key) {
		try {
			return this.fleet.send(SURVIVING_DAEMON, "GET", "/v1/requests/" + key, "", Map.of()).body();
		}
		catch (Exception ex) {
			throw new IllegalStateException("request to the surviving daemon failed", ex);
		}
	}

	private int dispatched(String tag) {
		return this.fleet.engines.stream()
			.mapToInt((engine) -> engine.counters().dispatches().getOrDefault(tag, 0))
			.sum();
	}

}
