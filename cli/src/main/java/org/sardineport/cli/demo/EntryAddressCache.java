package org.sardineport.cli.demo;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import org.sardineport.core.identity.NetworkAddress;

/**
 * Entry addresses of one caller, fetched from a daemon and cached for the time that the
 * daemon returned. Not thread-safe.
 */
final class EntryAddressCache {

	private static final long NANOS_PER_SECOND = 1_000_000_000L;

	private final HttpClient client;

	private final List<NetworkAddress> cached;

	private long validUntilNanos = Long.MIN_VALUE;

	private boolean fetched;

	EntryAddressCache(Vertx vertx, List<NetworkAddress> contacts) {
		this.client = vertx.createHttpClient();
		this.cached = new ArrayList<>(contacts);
	}

	/**
	 * Returns the addresses in the order in which to try them. If no daemon responds, the
	 * previous addresses remain in use.
	 * @return completes with the addresses
	 */
	Future<List<NetworkAddress>> addresses() {
		if (this.fetched && System.nanoTime() < this.validUntilNanos) {
			return Future.succeededFuture(List.copyOf(this.cached));
		}
		return fetch(0).otherwise(List.copyOf(this.cached));
	}

	private Future<List<NetworkAddress>> fetch(int index) {
		if (index >= this.cached.size()) {
			return Future.failedFuture("no daemon returned entry addresses");
		}
		NetworkAddress asked = this.cached.get(index);
		RequestOptions options = new RequestOptions().setHost(asked.ip())
			.setPort(asked.port())
			.setMethod(HttpMethod.GET)
			.setURI("/v1/entry");
		return this.client.request(options)
			.compose((request) -> request.send().compose((response) -> response.body()))
			.map((body) -> update(body.getBytes()))
			.recover((cause) -> fetch(index + 1));
	}

	private List<NetworkAddress> update(byte[] body) {
		try {
			JsonNode answer = new ObjectMapper().readTree(body);
			this.cached.clear();
			answer.path("addresses").forEach((address) -> this.cached.add(NetworkAddress.parse(address.asText())));
			this.validUntilNanos = System.nanoTime() + answer.path("keepSeconds").asLong() * NANOS_PER_SECOND;
			this.fetched = true;
			return List.copyOf(this.cached);
		}
		catch (IOException ex) {
			throw new IllegalStateException("entry response is not valid JSON", ex);
		}
	}

}
