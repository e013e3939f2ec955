package org.sardineport.daemon;

import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.sardineport.settings.DaemonSettings;
import org.sardineport.settings.MembershipSettings;
import org.sardineport.standins.engine.EngineOptions;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests planned stops of daemons under load, during a log outage, and before they serve.
 */
class PlannedStopTests {

	private static final int CALLERS = 8;

	private static final int LONG_STREAM_TOKENS = 2_000;

	private static final MembershipSettings FAST_MEMBERSHIP = new MembershipSettings(Duration.ofMillis(200),
			Duration.ofMillis(100), Duration.ofMillis(500), Duration.ofMillis(200));

	private FleetFixture fleet;

	private final List<EntryCaller> callers = new ArrayList<>();

	private final List<Thread> threads = new ArrayList<>();

	private void start(int daemons) throws Exception {
		this.fleet = new FleetFixture(daemons, EngineOptions.fast().withConcurrency(32), FAST_MEMBERSHIP);
		this.fleet.awaitReady();
	}

	@AfterEach
	void stop() throws Exception {
		this.fleet.close();
	}

	private void startCallers() {
		for (int i = 0; i < CALLERS; i++) {
			EntryCaller caller = new EntryCaller("caller" + i,
					this.fleet.settings.stream().map(DaemonSettings::callerAddress).toList(), FleetFixture.KEEP_TIME,
					LONG_STREAM_TOKENS, i);
			Thread thread = new Thread(caller, "caller" + i);
			this.callers.add(caller);
			this.threads.add(thread);
			thread.start();
		}
		FleetFixture.awaitCondition(() -> this.callers.stream().allMatch((caller) -> caller.completed() > 0));
	}

	private void finishCallers() throws InterruptedException {
		this.callers.forEach(EntryCaller::finish);
		for (Thread thread : this.threads) {
			thread.join();
		}
	}

	private void restart(int... numbers) throws Exception {
		List<CompletionStage<Void>> stops = new ArrayList<>();
		for (int number : numbers) {
			stops.add(this.fleet.daemons.get(number).stop());
		}
		for (CompletionStage<Void> stop : stops) {
			FleetFixture.await(stop);
		}
		for (int number : numbers) {
			SardineportDaemon next = SardineportDaemon.create(this.fleet.settings.get(number), this.fleet.clock);
			this.fleet.daemons.set(number, next);
			FleetFixture.await(next.start());
		}
		this.fleet.awaitReady();
	}

	private void assertNoRequestLost() {
		assertThat(this.callers).flatExtracting(EntryCaller::failures).isEmpty();
		int answered = this.callers.stream().mapToInt(EntryCaller::completed).sum();
		assertThat(this.fleet.dispatched()).as("each request ran once").isEqualTo(answered);
	}

	@Test
	void losesNoRequestInARollingRestart() throws Exception {
		start(8);
		startCallers();
		for (int number = 0; number < 8; number++) {
			restart(number);
		}
		finishCallers();
		assertNoRequestLost();
	}

	@Test
	void losesNoRequestIfSeveralDaemonsStopAtOnce() throws Exception {
		start(6);
		startCallers();
		restart(0, 1, 2);
		restart(3, 4, 5);
		finishCallers();
		assertNoRequestLost();
	}

	@Test
	void waitsForRunningStreamsAndIgnoresARepeatedStop() throws Exception {
		start(2);
		CompletableFuture<HttpResponse<String>> answer = this.fleet.client.sendAsync(this.fleet.request(0, "POST",
				"/v1/chat/completions", FleetFixture.chatRequest("longx", 3_000), Map.of()),
				HttpResponse.BodyHandlers.ofString());
		FleetFixture.awaitCondition(() -> this.fleet.dispatched() == 1);
		CompletionStage<Void> first = this.fleet.daemons.get(0).stop();
		CompletionStage<Void> second = this.fleet.daemons.get(0).stop();
		HttpResponse<String> whole = answer.join();
		assertThat(whole.statusCode()).isEqualTo(200);
		assertThat(whole.body()).contains("longx:").endsWith("data: [DONE]\n\n");
		FleetFixture.await(first);
		FleetFixture.await(second);
	}

	@Test
	void servesCallersWithCachedAddressesWhileAllDaemonsStop() throws Exception {
		start(3);
		List<CompletionStage<Void>> stops = this.fleet.daemons.stream().map(SardineportDaemon::stop).toList();
		FleetFixture.awaitCondition(
				() -> !this.fleet.fetchAsOperator(this.fleet.settings.get(0), "/status").contains("\"alive\""));
		for (int i = 0; i < 3; i++) {
			HttpResponse<String> answer = this.fleet.send(i, "POST", "/v1/chat/completions",
					FleetFixture.chatRequest("c" + i + "x", 5), Map.of());
			assertThat(answer.statusCode()).as(answer.body()).isEqualTo(200);
		}
		for (CompletionStage<Void> stop : stops) {
			FleetFixture.await(stop);
		}
	}

	@Test
	void servesAndStopsDuringALogOutage() throws Exception {
		start(2);
		this.fleet.log.faults().outage(true);
		CompletionStage<Void> stop = this.fleet.daemons.get(0).stop();
		HttpResponse<String> answer = this.fleet.send(0, "POST", "/v1/chat/completions",
				FleetFixture.chatRequest("outagex", 5), Map.of());
		assertThat(answer.statusCode()).as(answer.body()).isEqualTo(200);
		FleetFixture.await(stop);
		this.fleet.log.faults().outage(false);
	}

	@Test
	void stopsWithoutLingerIfItNeverServed() throws Exception {
		start(1);
		this.fleet.log.faults().outage(true);
		SardineportDaemon joining = SardineportDaemon.create(this.fleet.settingsOfUnstartedDaemon(), this.fleet.clock);
		FleetFixture.await(joining.start());
		FleetFixture.await(joining.stop());
		this.fleet.log.faults().outage(false);
	}

	@Test
	void stopsIfItWasNeverStarted() throws Exception {
		start(1);
		SardineportDaemon idle = SardineportDaemon.create(this.fleet.settingsOfUnstartedDaemon(), this.fleet.clock);
		FleetFixture.await(idle.stop());
	}

}
