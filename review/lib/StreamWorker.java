import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Stand-in of a worker of a language model: answers with a stream of events, each of several
 * tokens, and can go on after the event that a request names. Stops to work on a request as
 * soon as its channel closes. A grey worker falls mute in a part of its streams, after the
 * first event, and works on.
 */
final class StreamWorker {

	/** One run: when its first token was made and when the worker stopped to work on it. */
	static final class Run {

		final String worker;

		volatile long firstTokenAt = -1;

		volatile long endedAt = -1;

		volatile boolean muted;

		Run(String worker) {
			this.worker = worker;
		}

	}

	final String id = "i-" + UUID.randomUUID().toString().substring(0, 8);

	private final Store store;

	private final Transcript transcript;

	private final String zone;

	private final long tokenMillis;

	private final int events;

	private final Map<String, Map<String, Run>> runs;

	private volatile ServerSocket server;

	private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

	/** Version of the worker's software; each event names it. */
	private volatile String version = "v1";

	/** Start of the worker's present lifetime, in milliseconds since 1970. */
	private volatile long born = System.currentTimeMillis();

	private final Random random = new Random();

	/** Part of the streams that fall mute. */
	private volatile double mutedShare;

	private final AtomicInteger running = new AtomicInteger();

	private static final int SLOTS = 12;

	private static final int TOKENS_PER_EVENT = 6;

	private static final long PREFILL_MILLIS = 10;

	/** Idle channels are closed after this time; the answers state it. */
	private static final int IDLE_SECONDS = 2;

	private int seq;

	StreamWorker(String ip, Store store, Transcript transcript, String zone, long tokenMillis, int events,
			Map<String, Map<String, Run>> runs) throws IOException {
		this.store = store;
		this.transcript = transcript;
		this.zone = zone;
		this.tokenMillis = tokenMillis;
		this.events = events;
		this.runs = runs;
		this.server = new ServerSocket(0, 256, InetAddress.getByName(ip));
		thread(this::accept);
		thread(this::beat);
	}

	/** Makes the worker grey, or sound with a share of zero. */
	void mute(double share) {
		this.mutedShare = share;
		this.transcript.line("WORKER " + this.id + ((share > 0) ? " falls mute in " + share + " of its streams"
				: " is sound"));
	}

	private static void thread(Runnable task) {
		Thread thread = new Thread(task);
		thread.setDaemon(true);
		thread.start();
	}

	private void beat() {
		while (true) {
			if (!this.server.isClosed()) {
				register();
			}
			Worker.sleep(1200);
		}
	}

	private synchronized void register() {
		this.store.put("keyed.servers", this.id,
				("{\"service\":\"valuer-llm\",\"addr\":\"%s:%d\",\"zone\":\"%s\",\"version\":\"%s\",\"born\":%d,"
						+ "\"slots\":%d,\"state\":\"ready\",\"cold_left_ms\":0,\"stage\":\"colocated\","
						+ "\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],\"seq\":%d}")
					.formatted(this.server.getInetAddress().getHostAddress(), this.server.getLocalPort(), this.zone,
							this.version, this.born, SLOTS, this.seq++));
	}

	/** Crashes, and starts again under the same id and address with a version of its software. */
	void restart(String newVersion, long downMillis) throws IOException {
		ServerSocket former = this.server;
		this.transcript.line("WORKER " + this.id + " crashes");
		former.close();
		for (Socket socket : this.sockets) {
			socket.setSoLinger(true, 0);
			socket.close();
		}
		Worker.sleep(downMillis);
		this.version = newVersion;
		this.born = System.currentTimeMillis();
		this.seq = 0;
		ServerSocket next = new ServerSocket();
		next.setReuseAddress(true);
		next.bind(former.getLocalSocketAddress(), 256);
		this.server = next;
		register();
		this.transcript.line("WORKER " + this.id + " starts again with version " + newVersion);
		thread(this::accept);
	}

	String version() {
		return this.version;
	}

	/** Sets the version before any daemon is started. */
	void version(String first) {
		this.version = first;
		register();
	}

	private void accept() {
		ServerSocket accepting = this.server;
		while (true) {
			try {
				Socket socket = accepting.accept();
				this.sockets.add(socket);
				socket.setTcpNoDelay(true);
				thread(() -> serve(socket));
			}
			catch (IOException ex) {
				return;
			}
		}
	}

	private void serve(Socket socket) {
		try (socket) {
			BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
			OutputStream out = socket.getOutputStream();
			socket.setSoTimeout(IDLE_SECONDS * 1000);
			for (Http.Message request = Http.head(in); request != null; request = Http.head(in)) {
				Http.body(request, in, false);
				answer(request, socket, in, out);
				socket.setSoTimeout(IDLE_SECONDS * 1000);
			}
		}
		catch (IOException ex) {
			// The caller has left, or the channel was idle for too long.
		}
		finally {
			this.sockets.remove(socket);
		}
	}

	private void answer(Http.Message request, Socket socket, BufferedInputStream in, OutputStream out)
			throws IOException {
		String requestId = request.header("Request-Id");
		if (!this.id.equals(request.header("Expect-Instance"))) {
			write(out, "HTTP/1.1 421 Misdirected Request\r\nNot-Executed: 1\r\nRequest-Id: " + requestId
					+ "\r\nContent-Length: 0\r\n\r\n");
			return;
		}
		if (this.running.incrementAndGet() > SLOTS) {
			this.running.decrementAndGet();
			write(out, "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nRequest-Id: " + requestId
					+ "\r\nContent-Length: 0\r\n\r\n");
			return;
		}
		Run run = new Run(this.id);
		this.runs.computeIfAbsent(requestId, (key) -> new ConcurrentHashMap<>()).put(this.id, run);
		try {
			stream(request, requestId, run, socket, in, out);
		}
		finally {
			run.endedAt = this.transcript.millis();
			this.running.decrementAndGet();
			this.transcript.line("END    " + requestId + " at " + this.id + (run.muted ? " (was mute)" : ""));
		}
	}

	private void stream(Http.Message request, String requestId, Run run, Socket socket, BufferedInputStream in,
			OutputStream out) throws IOException {
		String last = request.header("Last-Event-Id");
		String writer = this.version;
		int next = (last != null) ? Integer.parseInt(last) + 1 : 1;
		work(PREFILL_MILLIS, socket, in);
		run.firstTokenAt = this.transcript.millis();
		this.transcript.line("RUN    " + requestId + " at " + this.id + " " + writer + " from event " + next);
		boolean mute = last == null && this.random.nextDouble() < this.mutedShare;
		for (int event = next; event <= this.events; event++) {
			int tokens = (event == next) ? TOKENS_PER_EVENT - 1 : TOKENS_PER_EVENT;
			work(tokens * this.tokenMillis, socket, in);
			if (mute && event > next) {
				run.muted = true;
				continue;
			}
			if (event == next) {
				write(out, "HTTP/1.1 200 OK\r\nRequest-Id: " + requestId + "\r\nResponse-Seal: "
						+ Worker.seal(requestId, new byte[0]) + "\r\nContent-Type: text/event-stream\r\n"
						+ "Weight-Versions: 1\r\nKeep-Alive: timeout=" + IDLE_SECONDS + "\r\nTransfer-Encoding: chunked\r\n\r\n");
			}
			String text = "id: " + event + "\ndata: " + writer + " piece " + event + "\n\n";
			write(out, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
		}
		if (mute) {
			work(30_000, socket, in);
			throw new IOException("the stream ended mute");
		}
		write(out, "0\r\n\r\n");
	}

	/** Works for a time; fails as soon as the channel closes. */
	private static void work(long millis, Socket socket, BufferedInputStream in) throws IOException {
		long until = System.nanoTime() + millis * 1_000_000;
		in.mark(1);
		for (long left = millis; left > 0; left = (until - System.nanoTime()) / 1_000_000) {
			socket.setSoTimeout((int) left);
			try {
				if (in.read() < 0) {
					throw new IOException("the caller closed the channel");
				}
				in.reset();
				Worker.sleep(left);
			}
			catch (java.net.SocketTimeoutException ex) {
				// The channel is open, and nothing came.
			}
		}
	}

	private static void write(OutputStream out, String text) throws IOException {
		out.write(text.getBytes(StandardCharsets.ISO_8859_1));
		out.flush();
	}

}
