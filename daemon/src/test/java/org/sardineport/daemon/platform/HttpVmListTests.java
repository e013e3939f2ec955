package org.sardineport.daemon.platform;

import java.time.Duration;
import java.util.concurrent.CompletionException;

import io.vertx.core.Vertx;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sardineport.core.identity.NetworkAddress;
import org.sardineport.core.port.platform.VmList;
import org.sardineport.core.port.platform.VmListException;
import org.sardineport.daemon.time.SteadyInstantSource;
import org.sardineport.standins.http.FreeAddress;
import org.sardineport.standins.http.StandInServer;
import org.sardineport.standins.vm.VmListStandIn;

import static org.assertj.core.api.Assertions.assertThatThrownBy;

/**
 * Runs the VM list contract against the HTTP client, and tests malformed responses.
 */
class HttpVmListTests extends VmListContract {

	private static final Duration TIMEOUT = Duration.ofSeconds(10);

	private final Vertx vertx = Vertx.vertx();

	private final VmListStandIn platform = VmListStandIn.create(this.vertx, SteadyInstantSource.create());

	private HttpVmList list;

	@BeforeEach
	void start() {
		this.platform.start().toCompletableFuture().join();
		this.list = HttpVmList.create(this.vertx, this.platform.address(), TIMEOUT);
	}

	@AfterEach
	void stop() {
		this.vertx.close().toCompletionStage().toCompletableFuture().join();
	}

	@Override
	VmList list() {
		return this.list;
	}

	@Override
	VmListStandIn platform() {
		return this.platform;
	}

	@Test
	void failsIfTheConnectionIsRefused() {
		assertFails(FreeAddress.find(), TIMEOUT);
	}

	@Test
	void failsIfNoResponseArrivesWithinTheTimeout() {
		StandInServer silent = StandInServer.create(this.vertx, (request) -> {
		});
		silent.start().toCompletableFuture().join();
		assertFails(silent.address(), Duration.ofMillis(100));
	}

	@ParameterizedTest
	@ValueSource(strings = { "", "no json", "{}", "{\"asOf\":\"yesterday\",\"entryVms\":[],\"backendServers\":[]}",
			"{\"asOf\":\"2026-12-03T20:00:00Z\",\"entryVms\":[{\"peerAddress\":\"host:1\",\"state\":\"LIVE\"}],"
					+ "\"backendServers\":[]}" })
	void failsOnAMalformedResponse(String body) {
		StandInServer strange = StandInServer.create(this.vertx, (request) -> request.response().end(body));
		strange.start().toCompletableFuture().join();
		assertFails(strange.address(), TIMEOUT);
	}

	private void assertFails(NetworkAddress address, Duration timeout) {
		HttpVmList failing = HttpVmList.create(this.vertx, address, timeout);
		assertThatThrownBy(() -> failing.fetch().toCompletableFuture().join()).isInstanceOf(CompletionException.class)
			.hasCauseInstanceOf(VmListException.class);
	}

}
