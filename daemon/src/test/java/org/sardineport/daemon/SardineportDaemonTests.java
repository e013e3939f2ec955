package org.sardineport.daemon;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;

import io.vertx.core.Vertx;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.sardineport.core.identity.DaemonId;
import org.sardineport.core.identity.FailureDomain;
import org.sardineport.core.identity.NetworkAddress;
import org.sardineport.core.request.RefusalReason;
import org.sardineport.core.request.RetryReason;
import org.sardineport.daemon.time.SteadyInstantSource;
import org.sardineport.settings.CallerSettings;
import org.sardineport.settings.ConfigurationSettings;
import org.sardineport.settings.DaemonSettings;
import org.sardineport.settings.JournalSettings;
import org.sardineport.settings.MembershipSettings;
import org.sardineport.settings.PlatformSettings;
import org.sardineport.settings.SchedulingSettings;
import org.sardineport.settings.StopSettings;
import org.sardineport.standins.http.FreeAddress;
import org.sardineport.standins.log.InMemoryLogService;
import org.sardineport.standins.log.LogServiceStandIn;
import org.sardineport.standins.vm.VmListStandIn;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests the operators' port of one complete daemon with stand-ins for the platform.
 */
class SardineportDaemonTests {

	private static final String TOKEN = "operators-token-of-the-test";

	private static final Duration TIMEOUT = Duration.ofSeconds(20);

	private final SteadyInstantSource clock = SteadyInstantSource.create();

	private final Vertx vertx = Vertx.vertx();

	private final HttpClient client = HttpClient.newHttpClient();

	private LogServiceStandIn log;

	private VmListStandIn vmList;

	private DaemonSettings settings;

	private SardineportDaemon daemon;

	@BeforeEach
	void start() throws Exception {
		this.log = LogServiceStandIn.create(this.vertx, InMemoryLogService.create());
		this.vmList = VmListStandIn.create(this.vertx, this.clock);
		await(this.log.start());
		await(this.vmList.start());
		this.settings = settings();
		this.daemon = SardineportDaemon.create(this.settings, this.clock);
		await(this.daemon.start());
	}

	@AfterEach
	void stop() throws Exception {
		await(this.daemon.stop());
		await(this.vertx.close().toCompletionStage());
	}

	@Test
	void servesHealthWithoutToken() throws Exception {
		assertThat(operators("/health", null).statusCode()).isEqualTo(200);
	}

	@Test
	void requiresTheOperatorTokenForOtherPaths() throws Exception {
		for (String path : List.of("/metrics", "/status", "/profiles", "/other")) {
			assertThat(operators(path, null).statusCode()).as(path).isEqualTo(401);
			assertThat(operators(path, TOKEN + "x").statusCode()).as(path).isEqualTo(401);
		}
	}

	@Test
	void reportsItsOwnStatus() throws Exception {
		HttpResponse<String> status = operators("/status", TOKEN);
		assertThat(status.statusCode()).isEqualTo(200);
		assertThat(status.body()).contains("\"daemon\":\"d1\"", "\"members\":[", "\"backendServers\":[");
	}

	@Test
	void exportsAllRefusalAndRetryCountersFromTheStart() throws Exception {
		String metrics = operators("/metrics", TOKEN).body();
		for (RefusalReason reason : RefusalReason.values()) {
			assertThat(metrics).contains("sardineport_requests_refused_total{reason=\"" + reason.label() + "\"} 0\n");
		}
		for (RetryReason reason : RetryReason.values()) {
			assertThat(metrics).contains("sardineport_requests_retried_total{reason=\"" + reason.label() + "\"} ");
		}
	}

	private HttpResponse<String> operators(String path, String token) throws IOException, InterruptedException {
		HttpRequest.Builder request = HttpRequest
			.newBuilder(URI.create("http://" + this.settings.operatorAddress() + path))
			.timeout(TIMEOUT);
		if (token != null) {
			request.header("Authorization", "Bearer " + token);
		}
		return this.client.send(request.build(), HttpResponse.BodyHandlers.ofString());
	}

	private DaemonSettings settings() throws IOException {
		NetworkAddress peer = FreeAddress.find();
		return new DaemonSettings("fleet", DaemonId.of("d1"), FailureDomain.of("bole"), FreeAddress.find(),
				FreeAddress.find(), peer, List.of(), List.of("0123456789abcdef0123456789abcdef"), TOKEN,
				new PlatformSettings(this.log.address(), this.vmList.address(), Duration.ofSeconds(2)),
				new CallerSettings(1024, Duration.ofSeconds(1), 100, Duration.ofMillis(100)),
				SchedulingSettings.defaults(), JournalSettings.defaults(),
				new MembershipSettings(Duration.ofMillis(100), Duration.ofMillis(50), Duration.ofMillis(100),
						Duration.ofMillis(100)),
				ConfigurationSettings.defaults(), new StopSettings(Duration.ofMillis(100), Duration.ZERO));
	}

	private static <T> T await(CompletionStage<T> stage) throws Exception {
		return stage.toCompletableFuture().get(TIMEOUT.toSeconds(), TimeUnit.SECONDS);
	}

}
