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
 * A daemon in a process of its own that is stopped or killed, beside one that lives.
 */
class DaemonProcessTests {

	private static final int SURVIVOR = 0;

	private static final int MORTAL = 1;

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
	void terminationCutsOffNoAnswer() throws Exception {
		CompletableFuture<HttpResponse<String>> answer = this.fleet.client.sendAsync(
				this.fleet.request(MORTAL, "POST", "/v1/chat/completions", FleetFixture.chat("long", 1500), Map.of()),
				HttpResponse.BodyHandlers.ofString());
		FleetFixture.until(() -> dispatched("long") == 1 || answer.isDone());
		this.process.terminate();
		this.process.terminate();
		assertThat(answer.join().body()).contains("long:1500 ").endsWith("data: [DONE]\n\n");
		assertThat(this.process.exitStatus()).isZero();
		assertThat(dispatched("long")).isOne();
	}

	@Test
	void aDraftOutlivesTheDaemonThatDispatchedIt() throws Exception {
		String key = FleetFixture.key();
		HttpResponse<String> accepted = this.fleet.send(MORTAL, "POST", "/v1/completions",
				FleetFixture.chat("draft", 3000), Map.of("Idempotency-Key", key, "Prefer", "respond-async"));
		assertThat(accepted.statusCode()).as(accepted.body()).isEqualTo(202);
		FleetFixture.until(() -> dispatched("draft") == 1);
		this.process.kill();
		this.fleet.forget(this.process);
		FleetFixture.until(() -> lookup(key).contains("data: [DONE]"));
		assertThat(lookup(key)).contains("draft:1 ", "draft:3000 ");
		assertThat(dispatched("draft")).isOne();
	}

	@Test
	void aPostingOfADeadDaemonIsUnknownAndNeverRunsAgain() throws Exception {
		String key = FleetFixture.key();
		this.fleet.ledger.setFault(ServiceFault.SILENT);
		CompletableFuture<HttpResponse<String>> lost = this.fleet.client.sendAsync(
				this.fleet.request(MORTAL, "POST", "/postings", "{}", Map.of("Idempotency-Key", key)),
				HttpResponse.BodyHandlers.ofString());
		FleetFixture.until(() -> this.fleet.ledger.executions().containsKey(key));
		this.process.kill();
		this.fleet.forget(this.process);
		this.fleet.ledger.setFault(ServiceFault.NONE);
		assertThat(lost.handle((response, failure) -> failure).join()).isNotNull();
		HttpResponse<String> again = this.fleet.send(SURVIVOR, "POST", "/postings", "{}",
				Map.of("Idempotency-Key", key));
		assertThat(again.body()).contains("\"outcome\":\"unknown\"");
		assertThat(this.fleet.ledger.executions()).containsExactly(Map.entry(key, 1));
	}

	private String lookup(String key) {
		try {
			return this.fleet.send(SURVIVOR, "GET", "/v1/requests/" + key, "", Map.of()).body();
		}
		catch (Exception ex) {
			throw new IllegalStateException("the survivor must answer", ex);
		}
	}

	private int dispatched(String tag) {
		return this.fleet.engines.stream()
			.mapToInt((engine) -> engine.counters().dispatches().getOrDefault(tag, 0))
			.sum();
	}

}
