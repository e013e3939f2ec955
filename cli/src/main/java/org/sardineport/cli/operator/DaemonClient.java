package org.sardineport.cli.operator;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.sardineport.core.identity.NetworkAddress;

/**
 * Blocking HTTP client for one port of a daemon.
 */
public final class DaemonClient {

	private static final int STATUS_OK = 200;

	private final HttpClient client;

	private final NetworkAddress address;

	private final Optional<String> token;

	private final Duration timeout;

	private final ObjectMapper json = new ObjectMapper().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

	private DaemonClient(NetworkAddress address, Optional<String> token, Duration timeout) {
		this.address = Objects.requireNonNull(address, "address must not be null");
		this.token = token;
		this.timeout = timeout;
		this.client = HttpClient.newBuilder().connectTimeout(timeout).version(HttpClient.Version.HTTP_1_1).build();
	}

	/**
	 * Creates a client.
	 * @param address address of the callers' or operators' port
	 * @param token bearer token, if the port requires one
	 * @param timeout time to wait for a connection, and again for the response
	 * @return the client
	 */
	public static DaemonClient of(NetworkAddress address, Optional<String> token, Duration timeout) {
		return new DaemonClient(address, token, timeout);
	}

	/**
	 * Fetches the status of the daemon and the fleet from the operators' port.
	 * @return the status
	 * @throws DaemonUnreachableException if there is no valid response with status 200
	 */
	public FleetStatus status() throws DaemonUnreachableException {
		return get("/status", FleetStatus.class);
	}

	/**
	 * Fetches the entry addresses from the callers' port.
	 * @return the addresses
	 * @throws DaemonUnreachableException if there is no valid response with status 200
	 */
	public EntryResponse entry() throws DaemonUnreachableException {
		return get("/v1/entry", EntryResponse.class);
	}

	private <T> T get(String path, Class<T> type) throws DaemonUnreachableException {
		String url = "http://" + this.address + path;
		HttpRequest.Builder request = HttpRequest.newBuilder(URI.create(url)).timeout(this.timeout).GET();
		this.token.ifPresent((value) -> request.header("Authorization", "Bearer " + value));
		try {
			HttpResponse<byte[]> response = this.client.send(request.build(), HttpResponse.BodyHandlers.ofByteArray());
			if (response.statusCode() != STATUS_OK) {
				throw DaemonUnreachableException.unexpectedStatus(url, response.statusCode());
			}
			return this.json.readValue(response.body(), type);
		}
		catch (IOException ex) {
			throw DaemonUnreachableException.noResponse(url, ex);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw DaemonUnreachableException.noResponse(url, ex);
		}
	}

}
