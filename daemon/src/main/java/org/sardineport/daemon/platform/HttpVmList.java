package org.sardineport.daemon.platform;

import java.io.IOException;
import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import org.sardineport.core.identity.NetworkAddress;
import org.sardineport.core.lifecycle.Service;
import org.sardineport.core.port.platform.VmList;
import org.sardineport.core.port.platform.VmListException;
import org.sardineport.core.port.platform.VmListing;

/**
 * Fetches the platform's list of VMs over HTTP. A failed fetch is not retried.
 */
public final class HttpVmList implements VmList, Service {

	private static final int STATUS_OK = 200;

	private static final String VM_LIST_PATH = "/v1/vms";

	private final HttpClient client;

	private final NetworkAddress address;

	private final Duration timeout;

	private final ObjectMapper json = new ObjectMapper();

	private HttpVmList(Vertx vertx, NetworkAddress address, Duration timeout) {
		this.client = vertx.createHttpClient(new HttpClientOptions().setConnectTimeout((int) timeout.toMillis()));
		this.address = Objects.requireNonNull(address, "address must not be null");
		this.timeout = timeout;
	}

	/**
	 * Creates a client whose connections run on the event loops of the given instance.
	 * @param vertx the instance; not closed by {@link #stop()}
	 * @param address address of the platform's list
	 * @param timeout timeout of the connection, of the request, and of idle connections
	 * @return the client
	 */
	public static HttpVmList create(Vertx vertx, NetworkAddress address, Duration timeout) {
		return new HttpVmList(vertx, address, timeout);
	}

	@Override
	public CompletionStage<Void> start() {
		return CompletableFuture.completedStage(null);
	}

	@Override
	public CompletionStage<Void> stop() {
		return this.client.close().toCompletionStage();
	}

	@Override
	public CompletionStage<VmListing> fetch() {
		RequestOptions options = new RequestOptions().setHost(this.address.ip())
			.setPort(this.address.port())
			.setMethod(HttpMethod.GET)
			.setURI(VM_LIST_PATH)
			.setTimeout(this.timeout.toMillis())
			.setIdleTimeout(this.timeout.toMillis());
		return this.client.request(options)
			.compose((request) -> request.send().compose(this::readBody))
			.compose(this::parse)
			.recover((cause) -> Future.failedFuture(VmListException
				.of("could not fetch the list of VMs from %s: %s".formatted(this.address, cause.getMessage()), cause)))
			.toCompletionStage();
	}

	private Future<Buffer> readBody(HttpClientResponse response) {
		if (response.statusCode() != STATUS_OK) {
			return Future.failedFuture(new IOException("expected status 200, got " + response.statusCode()));
		}
		return response.body();
	}

	private Future<VmListing> parse(Buffer body) {
		try {
			return Future.succeededFuture(this.json.readValue(body.getBytes(), VmListingJson.class).toListing());
		}
		catch (IOException | RuntimeException ex) {
			return Future.failedFuture(ex);
		}
	}

}
