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
 * A caller that asks which addresses to use, keeps the answer for as long as it may, and
 * sends one request after the other to the first address until it is told to finish.
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

	private long keptSince;

	private volatile boolean finishing;

	EntryCaller(String name, List<NetworkAddress> known, Duration keepTime, int longTokens, long seed) {
		this.name = name;
		this.addresses = known.stream().map(NetworkAddress::toString).toList();
		this.keepTime = keepTime;
		this.longTokens = longTokens;
		this.random = new Random(seed);
		this.keptSince = System.nanoTime() - keepTime.toNanos();
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
			if (System.nanoTime() - this.keptSince >= this.keepTime.toNanos()) {
				askEntry();
			}
			request(number);
		}
	}

	private void askEntry() {
		for (String address : this.addresses) {
			try {
				HttpResponse<String> answer = this.client
					.send(HttpRequest.newBuilder(URI.create("http://" + address + "/v1/entry"))
						.timeout(FleetFixture.PATIENCE)
						.build(), HttpResponse.BodyHandlers.ofString());
				List<String> found = new ArrayList<>();
				Matcher matcher = ADDRESS.matcher(answer.body());
				while (matcher.find()) {
					found.add(matcher.group(1));
				}
				if (!found.isEmpty()) {
					this.addresses = found;
					this.keptSince = System.nanoTime();
					return;
				}
			}
			catch (IOException ex) {
				// The next address may answer.
			}
			catch (InterruptedException ex) {
				throw new IllegalStateException("nobody interrupts a caller", ex);
			}
		}
		this.failures.add(this.name + ": no entry address answered of " + this.addresses);
	}

	private void request(int number) {
		boolean streamsLong = this.random.nextInt(8) == 0;
		String user = this.name + "-" + number;
		String address = this.addresses.get(0);
		HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + address + "/v1/chat/completions"))
			.timeout(FleetFixture.PATIENCE)
			.setHeader("Sardineport-Profile", "dictionary")
			.setHeader("Sardineport-Organisation", "schools")
			.POST(HttpRequest.BodyPublishers
				.ofString(FleetFixture.chat(user + "x", (streamsLong) ? this.longTokens : 5)))
			.build();
		try {
			HttpResponse<String> answer = this.client.send(request, HttpResponse.BodyHandlers.ofString());
			if (answer.statusCode() == 200 && answer.body().contains(user + "x:")
					&& answer.body().endsWith("data: [DONE]\n\n")) {
				this.completed.incrementAndGet();
			}
			else {
				this.failures.add(user + " at " + address + ": " + answer.statusCode() + " " + answer.body());
			}
		}
		catch (IOException ex) {
			this.failures.add(user + " at " + address + ": " + ex);
		}
		catch (InterruptedException ex) {
			throw new IllegalStateException("nobody interrupts a caller", ex);
		}
	}

}
