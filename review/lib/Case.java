import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** What the cases have in common: a store, a fleet of daemons, workers, and a transcript. */
abstract class Case {

	static final String HOST = "ficu95.example";

	static final String LIMITS = "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
			+ "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}";

	static final String SERVICES = "\"services\":[{\"name\":\"case-ledger\",\"health_path\":\"/healthz\","
			+ "\"max_conns\":110,\"protocol\":\"h1\",\"tls\":false}]";

	static final int HELD = 0;

	/** Not 1, with which Java itself ends when it fails; the scripts turn it into 1. */
	static final int BROKEN = 11;

	static final int NOT_RUN = 2;

	final boolean trouble = !"0".equals(System.getenv("TROUBLE"));

	final Transcript transcript;

	final Store store;

	final Fleet fleet;

	private final int daemons;

	private final AtomicInteger requests = new AtomicInteger();

	Case(Path directory, int daemons) throws IOException {
		this.transcript = new Transcript(directory.resolve("record.txt"));
		this.store = new Store("127.0.0.1");
		this.fleet = new Fleet(daemons, this.store.address());
		this.daemons = daemons;
	}

	/** Plays the case. Returns HELD, BROKEN or NOT_RUN. */
	abstract int play() throws Exception;

	/** Plays the case, ends all processes, and exits with the result. */
	final void main() throws IOException {
		int result = NOT_RUN;
		try {
			result = play();
		}
		catch (Exception ex) {
			this.transcript.line("the case could not run: " + ex);
		}
		finally {
			this.transcript.line("RESULT " + result);
			this.fleet.end();
			this.store.stop();
		}
		System.exit(result);
	}

	/** Starts three workers of one service and all daemons. Returns whether all are ready. */
	final boolean startAll(long workMillis) throws IOException {
		for (int i = 0; i < 3; i++) {
			new Worker("127.0.0.1", this.store, this.transcript, "case-ledger", Fleet.zone(i), 6, (request) -> {
				Worker.sleep(workMillis);
				return "case file".getBytes(StandardCharsets.UTF_8);
			});
		}
		this.fleet.startAll();
		for (int i = 0; i < this.daemons; i++) {
			if (!this.fleet.awaitReady(i, 30_000)) {
				this.transcript.line("daemon " + i + " is not ready");
				return false;
			}
		}
		return true;
	}

	/** Writes a configuration. Returns when the store has confirmed it, with the time. */
	final long configure(int version, String routes, String tenants) {
		this.store.put("keyed.op", "config", "{\"version\":" + version + ",\"routes\":[" + routes + "]," + SERVICES
				+ "," + LIMITS + ",\"tenants\":[" + tenants + "]}");
		long confirmed = this.transcript.millis();
		this.transcript.line("CONFIG version " + version + " is confirmed: " + tenants);
		return confirmed;
	}

	static String route(String name, String prefix, String kind, int timeoutMillis) {
		return ("{\"name\":\"%s\",\"host\":\"%s\",\"path_prefix\":\"%s\",\"kind\":\"%s\",\"timeout_ms\":%d,"
				+ "\"goal_ms\":150,\"priority\":2,\"service\":\"case-ledger\",\"max_attempts\":%d,\"public\":false}")
			.formatted(name, HOST, prefix, kind, timeoutMillis, kind.equals("idempotent") ? 2 : 1);
	}

	static String tenant(String name, List<String> keys) {
		String quoted = keys.isEmpty() ? "" : "\"" + String.join("\",\"", keys) + "\"";
		return ("{\"name\":\"%s\",\"api_keys\":[%s],\"priority\":1,\"unit\":\"token_count\",\"plain_tokens\":200,"
				+ "\"rate_per_s\":126640,\"burst\":126640}")
			.formatted(name, quoted);
	}

	final String newId() {
		return "%016x".formatted(0x5a00000000000000L + this.requests.incrementAndGet());
	}

	/** Returns the head of a request, without headers about its body and without its end. */
	static String head(String method, String path, String id, int deadlineMillis, String key) {
		return method + " " + path + " HTTP/1.1\r\nHost: " + HOST + "\r\nRequest-Id: " + id + "\r\nDeadline-Ms: "
				+ deadlineMillis + "\r\n" + ((key != null) ? "Authorization: Token " + key + "\r\n" : "");
	}

	/** Sends a GET on a new channel. Returns the status; 0 if the channel ended without one. */
	final int get(int daemon, String path, String id, String key) throws IOException {
		this.transcript.line("SENT   " + id + " to daemon " + daemon + " path=" + path + " key=" + key);
		int status = 0;
		try (Channel channel = new Channel(this.fleet.front(daemon), 3000)) {
			channel.out.write((head("GET", path, id, 1500, key) + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
			Http.Message answer = channel.answer();
			status = (answer != null) ? answer.status() : 0;
		}
		this.transcript.line("ANSWER " + id + " " + status);
		return status;
	}

}
