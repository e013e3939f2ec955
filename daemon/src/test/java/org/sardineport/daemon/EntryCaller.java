package org.sardineport.daemon;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.sardineport.core.identity.NetworkAddress;

/**
 * A caller that fetches the entry addresses, caches them for the keep time, and sends
 * sequential requests to the first address until {@link #finish()} is called.
 */
final class EntryCaller implements Runnable {

	private static final Pattern ADDRESS = Pattern.compile("\"([0-9.]+:[0-9]+)\"");

	private final HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

	private final String name;

	private final Duration keepTime;

	private final int longTokens;

	private final Random random;

	private final List<String> failures = new ArrayList<>();

	private final AtomicInteger completed = new AtomicInteger();

	private List<String> addresses;

	private long fetchedAtNanos;

	private volatile boolean finishing;

	EntryCaller(String name, List<NetworkAddress> initialAddresses, Duration keepTime, int longTokens, long seed) {
		this.name = name;
		this.addresses = initialAddresses.stream().map(NetworkAddress::toString).toList();
		this.keepTime = keepTime;
		this.longTokens = longTokens;
		this.random = new Random(seed);
		this.fetchedAtNanos = System.nanoTime() - keepTime.toNanos();
	}

	void finish() {
		this.finishing = true;
	}

	List<String> failures() {
		return this.failures;
	}

	int completed() {
		return this.completed.get();
	}

	@Override
	public void run() {
		for (int number = 0; !this.finishing; number++) {
			if (System.nanoTime() - this.fetchedAtNanos >= this.keepTime.toNanos()) {
				refreshAddresses();
			}
			request(number);
		}
	}

	private void refreshAddresses() {
		for (String address : this.addresses) {
			try {
				HttpResponse<String> response = this.client
					.send(HttpRequest.newBuilder(URI.create("http://" + address + "/v1/entry"))
						.timeout(FleetFixture.TIMEOUT)
						.build(), HttpResponse.BodyHandlers.ofString());
				List<String> found = new ArrayList<>();
				Matcher matcher = ADDRESS.matcher(response.body());
				while (matcher.find()) {
					found.add(matcher.group(1));
				}
				if (!found.isEmpty()) {
					this.addresses = found;
					this.fetchedAtNanos = System.nanoTime();
					return;
				}
			}
			catch (IOException ex) {
				// Tries the next address.
			}
			catch (InterruptedException ex) {
				throw new IllegalStateException("caller thread interrupted", ex);
			}
		}
		this.failures.add(this.name + ": no response from any entry address of " + this.addresses);
	}

	private void request(int number) {
		boolean longStream = this.random.nextInt(8) == 0;
		String user = this.name + "-" + number;
		String address = this.addresses.get(0);
		HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + address + "/v1/chat/completions"))
			.timeout(FleetFixture.TIMEOUT)
			.setHeader("Sardineport-Profile", "dictionary")
			.setHeader("Sardineport-Organisation", "schools")
			.POST(HttpRequest.BodyPublishers
				.ofString(FleetFixture.chatRequest(user + "x", (longStream) ? this.longTokens : 5)))
			.build();
		try {
			HttpResponse<String> response = this.client.send(request, HttpResponse.BodyHandlers.ofString());
			if (response.statusCode() == 200 && response.body().contains(user + "x:")
					&& response.body().endsWith("data: [DONE]\n\n")) {
				this.completed.incrementAndGet();
			}
			else {
				this.failures.add(user + " at " + address + ": " + response.statusCode() + " " + response.body());
			}
		}
		catch (IOException ex) {
			this.failures.add(user + " at " + address + ": " + ex);
		}
		catch (InterruptedException ex) {
			throw new IllegalStateException("caller thread interrupted", ex);
		}
	}

}
