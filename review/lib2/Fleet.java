package review2;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;

/** Daemons as separate processes, started with the command of the deploy file. */
public final class Fleet {

	private static final Path ROOT = Path.of("").toAbsolutePath();

	private final Note note;

	private final Path folder;

	private final String store;

	private final List<String> ips = new ArrayList<>();

	private final List<Process> processes = new ArrayList<>();

	private final int front;

	private final int ready;

	private final int directory;

	private final int control;

	private final int peers;

	public Fleet(Note note, String store, int daemons) throws IOException {
		this.note = note;
		this.store = store;
		this.folder = Files.createTempDirectory("review-2-");
		Random random = new Random();
		int net = 1 + random.nextInt(250);
		int sub = random.nextInt(250);
		for (int i = 0; i < daemons; i++) {
			this.ips.add("127." + net + "." + sub + "." + (10 + i));
			this.processes.add(null);
		}
		this.front = free();
		this.ready = free();
		this.directory = free();
		this.control = free();
		this.peers = free();
		Runtime.getRuntime().addShutdownHook(new Thread(this::end));
	}

	private int free() throws IOException {
		try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(this.ips.get(0)))) {
			return socket.getLocalPort();
		}
	}

	public int size() {
		return this.ips.size();
	}

	public String ip(int daemon) {
		return this.ips.get(daemon);
	}

	public int front() {
		return this.front;
	}

	public void start(int daemon) throws IOException {
		Path settings = this.folder.resolve("front-" + daemon + ".json");
		Files.writeString(settings, settings(daemon));
		List<String> command = new ArrayList<>(List.of(deployed("run").split(" +")));
		if (System.getProperty("java.home") != null && command.get(0).equals("java")) {
			command.set(0, Path.of(System.getProperty("java.home"), "bin", "java").toString());
		}
		ProcessBuilder builder = new ProcessBuilder(command).directory(ROOT.toFile())
			.redirectErrorStream(true)
			.redirectOutput(ProcessBuilder.Redirect.appendTo(log(daemon).toFile()));
		builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
		builder.environment().put("SARDINEPORT_NODE_FILE", settings.toString());
		builder.environment().put("SARDINEPORT_PEER_KEY", "one-key-for-the-daemons-of-this-fleet");
		this.processes.set(daemon, builder.start());
		this.note.write("daemon " + daemon + ": started");
	}

	private Path log(int daemon) {
		return this.folder.resolve("front-" + daemon + ".log");
	}

	private static String deployed(String name) throws IOException {
		for (String line : Files.readAllLines(ROOT.resolve("deploy/system.toml"))) {
			if (line.startsWith(name + " = ")) {
				return line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
			}
		}
		throw new IOException("the deploy file has no " + name);
	}

	private String settings(int daemon) {
		StringBuilder seeds = new StringBuilder();
		for (int i = 0; i < Math.min(3, this.ips.size()); i++) {
			seeds.append((i > 0) ? "," : "").append("\"" + this.ips.get(i) + ":" + this.control + "\"");
		}
		String ip = this.ips.get(daemon);
		return """
				{"node": "front-%1$d", "role": "relay", "class": "front", "serves": ["front", "control", "directory"],
				"ip": "%2$s", "zone": "lalitpur-hall", "region": "kathmandu-valley",
				"zones": {"lalitpur-hall": "kathmandu-valley"},
				"listen": {"front": "%2$s:%3$d", "ready_addr": "%2$s:%4$d", "control": "%2$s:%5$d", "directory": "%2$s:%6$d"},
				"port_range": [%7$d, %8$d], "seeds": [%9$s], "bootstrap": true, "counts_loss": false,
				"limits": {"cpu_share": 0.75, "cores": 1, "memory_mb": 430, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
				"data_dir": null, "discovery": "platform", "entry": "directory", "beat_ms": 1200,
				"contracts": ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "quota", "platform"],
				"tolerate": {"machines": 2, "zones": 0, "regions": 0},
				"bounds": {"seed_lag_s": 3, "addr_reuse_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000, "grace_s": 8, "loss_slack_ms": 200, "config_apply_ms": 2000, "rollback_slack_ms": 250, "max_skew_ms": 5000, "strict_revoke": true, "revoke_ms": 5000, "retry_ratio": 0.2, "retry_window_s": 10, "retry_slack": 56, "quota_window_s": 8, "quota_over": 0.1, "quota_slack": 140000, "recover_s": 12, "pass_ms": 120, "retry_after_s": 10, "ttl_max_s": 5},
				"platform": {"addr": "%10$s", "form": "log", "writes_per_s": 400, "reads_per_s": 2000, "parts": 12, "append_ms": 2.0, "part_mb_s": 20.0, "read_mb_s": 80.0, "record_bytes": 262144, "call_bytes": 2097152, "keep_s": 300, "part_mb": 200, "ttl_min_ms": 1000}}
				"""
			.formatted(daemon, ip, this.front, this.ready, this.control, this.directory, this.peers, this.peers + 15,
					seeds, this.store);
	}

	/** Waits until all daemons are ready, for a limited time. */
	public boolean awaitReady(long millis) throws InterruptedException {
		long until = System.nanoTime() + millis * 1_000_000;
		for (int i = 0; i < this.ips.size(); i++) {
			while (!isReady(i)) {
				if (System.nanoTime() > until) {
					return false;
				}
				Threads.sleep(50);
			}
		}
		return true;
	}

	public boolean isReady(int daemon) {
		try {
			return Caller.call(this.ips.get(daemon), this.ready, "GET /sardineport/readyz HTTP/1.1\r\nHost: x\r\n\r\n",
					1000)
				.status() == 200;
		}
		catch (IOException ex) {
			return false;
		}
	}

	public Process process(int daemon) {
		return this.processes.get(daemon);
	}

	public void signal(int daemon, String signal) throws IOException, InterruptedException {
		this.note.write("daemon " + daemon + ": signal " + signal);
		new ProcessBuilder("kill", "-" + signal, Long.toString(this.processes.get(daemon).pid())).start()
			.waitFor(5, TimeUnit.SECONDS);
	}

	public boolean allAlive() {
		return this.processes.stream().allMatch(Process::isAlive);
	}

	/** Returns the lines of a log that name an error. */
	public List<String> errors(int daemon) throws IOException {
		return Files.readAllLines(log(daemon))
			.stream()
			.filter((line) -> line.contains("OutOfMemory") || line.startsWith("Terminating due to"))
			.limit(3)
			.toList();
	}

	/** Ends all processes; keeps the logs if asked to. */
	public void end() {
		for (Process process : this.processes) {
			if (process != null) {
				process.destroyForcibly();
			}
		}
		if (System.getenv("KEEP_LOGS") != null) {
			System.err.println("logs in " + this.folder);
			return;
		}
		try (var files = Files.list(this.folder)) {
			for (Path file : files.toList()) {
				Files.delete(file);
			}
			Files.delete(this.folder);
		}
		catch (IOException ex) {
			// The logs stay in the temporary folder.
		}
	}

}
