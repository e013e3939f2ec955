package org.sardineport.daemon;

import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.sardineport.settings.DaemonSettings;
import org.sardineport.settings.MembershipSettings;
import org.sardineport.standins.engine.EngineOptions;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests requests that reach a daemon right after its start, as their callers still hold
 * its address from before a planned stop.
 */
class StartingDaemonTests {

	private static final MembershipSettings FREQUENT_READS = new MembershipSettings(Duration.ofMillis(200),
			Duration.ofMillis(100), Duration.ofMillis(500), Duration.ofMillis(200));

	private FleetFixture fleet;

	@BeforeEach
	void start() throws Exception {
		this.fleet = new FleetFixture(1, EngineOptions.fast(), FREQUENT_READS);
		this.fleet.awaitReady();
	}

	@AfterEach
	void stop() throws Exception {
		this.fleet.close();
	}

	private DaemonSettings restart() throws Exception {
		DaemonSettings settings = this.fleet.settings.get(0);
		FleetFixture.await(this.fleet.daemons.get(0).stop());
		this.fleet.vmList.setUnavailable(true);
		SardineportDaemon next = SardineportDaemon.create(settings, this.fleet.clock);
		this.fleet.daemons.set(0, next);
		FleetFixture.await(next.start());
		return settings;
	}

	private CompletableFuture<HttpResponse<String>> send() {
		return this.fleet.client.sendAsync(
				this.fleet.request(0, "POST", "/v1/chat/completions", FleetFixture.chatRequest("earlyx", 5), Map.of()),
				HttpResponse.BodyHandlers.ofString());
	}

	// Guards against refusals for want of backend servers between the reads of the
	// configuration and of the list.
	@Test
	void requestWaitsUntilTheListOfBackendServersHasBeenRead() throws Exception {
		DaemonSettings settings = restart();
		FleetFixture.awaitCondition(
				() -> !this.fleet.fetchAsOperator(settings, "/ready").contains("configuration is being read"));
		CompletableFuture<HttpResponse<String>> answer = send();
		FleetFixture.awaitCondition(
				() -> answer.isDone() || this.fleet.fetchAsOperator(settings, "/status").contains("\"inFlight\":1"));
		this.fleet.vmList.setUnavailable(false);
		assertThat(answer.join().statusCode()).as(answer.join().body()).isEqualTo(200);
	}

	// Guards against callers that are sent to a daemon which cannot serve yet.
	@Test
	void isNotReadyBeforeTheListOfBackendServersHasBeenRead() throws Exception {
		DaemonSettings settings = restart();
		FleetFixture.awaitCondition(
				() -> !this.fleet.fetchAsOperator(settings, "/ready").contains("configuration is being read"));
		assertThat(this.fleet.fetchAsOperator(settings, "/ready")).contains("list of backend servers is being read");
		this.fleet.vmList.setUnavailable(false);
		this.fleet.awaitReady();
	}

}
