import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/**
 * The project's own daemons, each a process that is started with the command of the deploy
 * file, on a loopback address of its own.
 */
final class Fleet {

	private static final String[] ZONES = { "lalitpur-hall", "baneshwor-hall", "bhaktapur-hall" };

	/** Port of the metrics in the deploy file, on each daemon's own address. */
	private static final int METRICS_PORT = 9464;

	final List<Process> processes = new ArrayList<>();

	final Path directory;

	private final int network = 16 + new Random().nextInt(200);

	private final int[] ports;

	private final int daemons;

	private final String store;

	Fleet(int daemons, String store) throws IOException {
		this.daemons = daemons;
		this.store = store;
		this.directory = Files.createTempDirectory("sardineport-review");
		this.ports = freePorts(5);
		Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
	}

	private void killAll() {
		this.processes.stream().filter((process) -> process != null).forEach(Process::destroyForcibly);
	}

	private static int[] freePorts(int count) throws IOException {
		int[] ports = new int[count];
		List<ServerSocket> sockets = new ArrayList<>();
		for (int i = 0; i < count; i++) {
			ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
			sockets.add(socket);
			ports[i] = socket.getLocalPort();
		}
		for (ServerSocket socket : sockets) {
			socket.close();
		}
		return ports;
	}

	private String ip(int daemon) {
		return "127." + this.network + ".0." + (daemon + 1);
	}

	String front(int daemon) {
		return ip(daemon) + ":" + this.ports[0];
	}

	String ready(int daemon) {
		return ip(daemon) + ":" + this.ports[1];
	}

	static String zone(int daemon) {
		return ZONES[daemon % ZONES.length];
	}

	void startAll() throws IOException {
		for (int i = 0; i < this.daemons; i++) {
			this.processes.add(null);
			start(i);
		}
	}

	void start(int daemon) throws IOException {
		String seeds = IntStream.range(0, Math.min(3, this.daemons))
			.mapToObj((seed) -> "\"" + ip(seed) + ":" + this.ports[2] + "\"")
			.collect(Collectors.joining(","));
		String settings = """
				{"node":"front-%1$d","role":"relay","class":"front","serves":["front","control","directory"],
				"ip":"%2$s","zone":"%3$s","region":"kathmandu-valley",
				"zones":{"lalitpur-hall":"kathmandu-valley","baneshwor-hall":"kathmandu-valley","bhaktapur-hall":"kathmandu-valley"},
				"listen":{"front":"%2$s:%4$d","ready_addr":"%2$s:%5$d","control":"%2$s:%6$d","directory":"%2$s:%7$d"},
				"port_range":[%8$d,%8$d],"seeds":[%9$s],"bootstrap":true,"counts_loss":false,
				"limits":{"cpu_share":0.75,"cores":1,"memory_mb":430,"max_fds":4100,"link_mbps":1000.0,"disk_mb":0},
				"data_dir":null,"discovery":"platform","entry":"directory","beat_ms":1200,
				"contracts":["base","drain","config","cost","retry","recover","engine","stream","tenants","quota","platform"],
				"tolerate":{"machines":2,"zones":0,"regions":0},
				"bounds":{"seed_lag_s":3,"addr_reuse_s":2,"contact_ms":3000,"ack_ms":4000,"catch_up_s":4,"drain_ms":2000,
				"grace_s":8,"loss_slack_ms":200,"config_apply_ms":2000,"rollback_slack_ms":250,"max_skew_ms":5000,
				"strict_revoke":true,"revoke_ms":5000,"retry_ratio":0.2,"retry_window_s":10,"retry_slack":56,
				"quota_window_s":8,"quota_over":0.1,"quota_slack":140000,"recover_s":12,"pass_ms":120,
				"retry_after_s":10,"ttl_max_s":5},
				"platform":{"addr":"%10$s","form":"log","writes_per_s":400,"reads_per_s":2000,"parts":12,"append_ms":2.0,
				"part_mb_s":20.0,"read_mb_s":80.0,"record_bytes":262144,"call_bytes":2097152,"keep_s":300,"part_mb":200,
				"ttl_min_ms":1000}}
				""".formatted(daemon, ip(daemon), zone(daemon), this.ports[0], this.ports[1], this.ports[2],
				this.ports[3], this.ports[4], seeds, this.store);
		Path file = this.directory.resolve("front-" + daemon + ".json");
		Files.writeString(file, settings);
		ProcessBuilder builder = new ProcessBuilder(deployed("run").split(" "));
		builder.redirectErrorStream(true)
			.redirectOutput(ProcessBuilder.Redirect.appendTo(log(daemon).toFile()));
		builder.environment().put("SARDINEPORT_NODE_FILE", file.toString());
		builder.environment().put("SARDINEPORT_PEER_KEY", deployed("env").split("\"")[1]);
		this.processes.set(daemon, builder.start());
	}

	Path log(int daemon) {
		return this.directory.resolve("front-" + daemon + ".log");
	}

	/** Returns a value of the deploy file's role. */
	private static String deployed(String name) throws IOException {
		String line = Files.readAllLines(Path.of("deploy/system.toml"))
			.stream()
			.filter((each) -> each.startsWith(name + " = "))
			.findFirst()
			.orElseThrow();
		String value = line.substring(line.indexOf('=') + 1).strip();
		return value.startsWith("\"") ? value.substring(1, value.length() - 1) : value;
	}

	/** Waits until a daemon says that it is ready. */
	boolean awaitReady(int daemon, long millis) {
		long until = System.currentTimeMillis() + millis;
		while (System.currentTimeMillis() < until) {
			if (isReady(daemon)) {
				return true;
			}
			Worker.sleep(100);
		}
		return false;
	}

	boolean isReady(int daemon) {
		try (Channel channel = new Channel(ready(daemon), 1000)) {
			channel.out.write(("GET /sardineport/readyz HTTP/1.1\r\nHost: " + ready(daemon) + "\r\n\r\n").getBytes());
			Http.Message answer = channel.answer();
			return answer != null && answer.status() == 200;
		}
		catch (IOException ex) {
			return false;
		}
	}

	/** Ends all processes that were started, and removes their files. */
	void end() throws IOException {
		killAll();
		for (Process process : this.processes) {
			if (process == null) {
				continue;
			}
			try {
				process.waitFor(5, TimeUnit.SECONDS);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		}
		if (System.getenv("KEEP") == null) {
			try (Stream<Path> files = Files.walk(this.directory)) {
				for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
					Files.delete(file);
				}
			}
		}
		else {
			System.err.println("logs: " + Arrays.toString(this.directory.toFile().list()) + " in " + this.directory);
		}
	}

}
