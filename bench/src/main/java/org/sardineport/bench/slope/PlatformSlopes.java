package org.sardineport.bench.slope;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import io.vertx.core.Vertx;
import org.sardineport.core.backend.BackendKind;
import org.sardineport.core.backend.BackendServer;
import org.sardineport.core.identity.BackendServerId;
import org.sardineport.core.identity.FailureDomain;
import org.sardineport.core.identity.NetworkAddress;
import org.sardineport.core.identity.PoolName;
import org.sardineport.core.port.platform.VmState;
import org.sardineport.standins.engine.EngineOptions;
import org.sardineport.standins.engine.ModelEngineStandIn;
import org.sardineport.standins.vm.VmListStandIn;

/**
 * Costs of polling the platform and the backend servers, with response bodies of the
 * fakes.
 */
final class PlatformSlopes {

	/** Heads of a request and its response, and headers of TCP and IP. */
	private static final int EXCHANGE_BYTES = 400;

	private static final Duration TIMEOUT = Duration.ofSeconds(20);

	private PlatformSlopes() {
	}

	static List<SlopeProbe> probes() {
		return List.of(
				new SlopeProbe("vm-list-bytes", Role.MEMBER, "listed backend servers", CostUnit.WIRE_BYTES,
						List.of(100, 200, 400), PlatformSlopes::vmListBytes),
				new SlopeProbe("load-report-bytes", Role.OWNER, "load reports", CostUnit.WIRE_BYTES, List.of(2, 4, 8),
						PlatformSlopes::loadReportBytes));
	}

	private static double vmListBytes(int servers, long seed) {
		return withVertx((vertx) -> {
			VmListStandIn list = VmListStandIn.create(vertx, InstantSource.system());
			await(list.start());
			for (int i = 0; i < servers; i++) {
				list.putBackendServer(new BackendServer(BackendServerId.of("worker-" + i), BackendKind.MODEL_ENGINE,
						PoolName.of("valuation-model"), FailureDomain.of("region-1.domain-1"),
						NetworkAddress.of("10.20.30.40", 8000), 32), VmState.LIVE);
			}
			return bytes(list.address(), "/v1/vms");
		});
	}

	private static double loadReportBytes(int reports, long seed) {
		return withVertx((vertx) -> {
			ModelEngineStandIn engine = ModelEngineStandIn.create(vertx, InstantSource.system(), EngineOptions.fast());
			await(engine.start());
			double sum = 0;
			for (int i = 0; i < reports; i++) {
				sum += EXCHANGE_BYTES + bytes(engine.address(), "/v1/load");
			}
			return sum;
		});
	}

	private static double withVertx(StandInCost measured) {
		Vertx vertx = Vertx.vertx();
		try {
			return measured.measure(vertx);
		}
		catch (IOException | InterruptedException ex) {
			throw new IllegalStateException("request to a fake failed", ex);
		}
		finally {
			await(vertx.close().toCompletionStage());
		}
	}

	private static double bytes(NetworkAddress address, String path) throws IOException, InterruptedException {
		HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + address + path))
			.version(HttpClient.Version.HTTP_1_1)
			.build();
		HttpResponse<byte[]> response = HttpClient.newHttpClient()
			.send(request, HttpResponse.BodyHandlers.ofByteArray());
		if (response.statusCode() != 200) {
			throw new IllegalStateException(
					"request for %s failed with status %d".formatted(path, response.statusCode()));
		}
		return response.body().length;
	}

	private static void await(CompletionStage<?> stage) {
		try {
			stage.toCompletableFuture().get(TIMEOUT.toSeconds(), TimeUnit.SECONDS);
		}
		catch (InterruptedException | ExecutionException | TimeoutException ex) {
			throw new IllegalStateException("fake did not start or stop", ex);
		}
	}

	/**
	 * Cost that is measured with the help of fakes.
	 */
	@FunctionalInterface
	private interface StandInCost {

		double measure(Vertx vertx) throws IOException, InterruptedException;

	}

}
