package org.sardineport.bench.fleet;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Caller that caches the entry response for the allowed time and sends requests one after
 * the other to the first address. One in eight is a long stream. Only the thread that
 * runs it changes its state, except for {@link #stop()}.
 */
final class ReplacementCaller implements Runnable {

	private static final Pattern ADDRESS = Pattern.compile("\"([0-9.]+:[0-9]+)\"");

	private static final String FINAL_EVENT = "data: [DONE]\n\n";

	private static final int SHORT_TOKENS = 5;

	private static final int LONG_TOKENS = 2_000;

	private static final int REQUESTS_PER_LONG_STREAM = 8;

	private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(30);

	private final HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

	private final String name;

	private final Duration keepTime;

	private final Random random;

	private final List<String> failures = new ArrayList<>();

	private List<String> addresses;

	private long refreshedAt;

	private volatile int completed;

	private volatile boolean stopping;

	ReplacementCaller(int number, List<String> initialAddresses, Duration keepTime) {
		this.name = "caller" + number;
		this.addresses = initialAddresses;
		this.keepTime = keepTime;
		this.random = new Random(number);
		this.refreshedAt = System.nanoTime() - keepTime.toNanos();
	}

	void stop() {
		this.stopping = true;
	}

	/**
	 * Returns descriptions of all failed requests. Must not be called before the caller's
	 * thread has ended.
	 * @return one line for each failure
	 */
	List<String> failures() {
		return this.failures;
	}

	int completed() {
		return this.completed;
	}

	@Override
	public void run() {
		int number = 0;
		while (!this.stopping) {
			if (System.nanoTime() - this.refreshedAt >= this.keepTime.toNanos()) {
				refreshAddresses();
			}
			request(this.name + "-" + number + "x");
			number++;
		}
	}

	private void refreshAddresses() {
		for (String address : this.addresses) {
			List<String> found = refreshAddresses(address);
			if (!found.isEmpty()) {
				this.addresses = found;
				this.refreshedAt = System.nanoTime();
				return;
			}
		}
		this.failures.add(this.name + ": no response from any entry address of " + this.addresses);
	}

	private List<String> refreshAddresses(String address) {
		List<String> found = new ArrayList<>();
		try {
			String body = send(HttpRequest.newBuilder(URI.create("http://" + address + "/v1/entry"))).body();
			Matcher matcher = ADDRESS.matcher(body);
			while (matcher.find()) {
				found.add(matcher.group(1));
			}
		}
		catch (IOException ex) {
			found.clear();
		}
		return found;
	}

	private void request(String user) {
		boolean isLong = this.random.nextInt(REQUESTS_PER_LONG_STREAM) == 0;
		String address = this.addresses.get(0);
		String body = "{\"stream\":true,\"user\":\"%s\",\"max_tokens\":%d,\"messages\":[]}".formatted(user,
				(isLong) ? LONG_TOKENS : SHORT_TOKENS);
		try {
			HttpResponse<String> response = send(
					HttpRequest.newBuilder(URI.create("http://" + address + "/v1/chat/completions"))
						.setHeader("Sardineport-Profile", "rolling")
						.setHeader("Sardineport-Organisation", "schools")
						.POST(HttpRequest.BodyPublishers.ofString(body)));
			boolean complete = response.statusCode() == 200 && response.body().contains(user + ":")
					&& response.body().endsWith(FINAL_EVENT);
			if (complete) {
				this.completed = this.completed + 1;
			}
			else {
				this.failures.add(user + " at " + address + ": " + response.statusCode() + " " + response.body());
			}
		}
		catch (IOException ex) {
			this.failures.add(user + " at " + address + ": " + ex);
		}
	}

	private HttpResponse<String> send(HttpRequest.Builder request) throws IOException {
		try {
			return this.client.send(request.timeout(REQUEST_TIMEOUT).build(), HttpResponse.BodyHandlers.ofString());
		}
		catch (InterruptedException ex) {
			throw new IOException("interrupted", ex);
		}
	}

}
