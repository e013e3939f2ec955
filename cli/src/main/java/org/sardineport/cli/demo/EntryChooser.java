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
 * One caller's memory of which addresses to use: asks the system, keeps the answer for
 * the time it was told, and asks again. Used on one thread only.
 */
final class EntryChooser {

	private static final long NANOS_PER_SECOND = 1_000_000_000L;

	private final HttpClient client;

	private final List<NetworkAddress> known;

	private long keepUntil = Long.MIN_VALUE;

	private boolean fresh;

	EntryChooser(Vertx vertx, List<NetworkAddress> contacts) {
		this.client = vertx.createHttpClient();
		this.known = new ArrayList<>(contacts);
	}

	/**
	 * Returns the addresses to use, the first one first.
	 * @return the addresses
	 */
	Future<List<NetworkAddress>> addresses() {
		if (this.fresh && System.nanoTime() < this.keepUntil) {
			return Future.succeededFuture(List.copyOf(this.known));
		}
		return ask(0).otherwise(List.copyOf(this.known));
	}

	private Future<List<NetworkAddress>> ask(int index) {
		if (index >= this.known.size()) {
			return Future.failedFuture("no daemon told its entry addresses");
		}
		NetworkAddress asked = this.known.get(index);
		RequestOptions options = new RequestOptions().setHost(asked.ip())
			.setPort(asked.port())
			.setMethod(HttpMethod.GET)
			.setURI("/v1/entry");
		return this.client.request(options)
			.compose((request) -> request.send().compose((response) -> response.body()))
			.map((body) -> remember(body.getBytes()))
			.recover((cause) -> ask(index + 1));
	}

	private List<NetworkAddress> remember(byte[] body) {
		try {
			JsonNode answer = new ObjectMapper().readTree(body);
			this.known.clear();
			answer.path("addresses").forEach((address) -> this.known.add(NetworkAddress.parse(address.asText())));
			this.keepUntil = System.nanoTime() + answer.path("keepSeconds").asLong() * NANOS_PER_SECOND;
			this.fresh = true;
			return List.copyOf(this.known);
		}
		catch (IOException ex) {
			throw new IllegalStateException("the entry answer must be JSON", ex);
		}
	}

}
