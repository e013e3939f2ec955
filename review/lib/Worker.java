import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.UUID;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Stand-in of a worker of an application service: registers itself in the store, runs one
 * request at a time on a channel, and answers with its signature.
 */
final class Worker {

	/** What a worker does with a request that it runs. */
	interface Handler {

		/** Returns the body of the answer, which is sent with status 200. */
		byte[] run(Http.Message request) throws Exception;

	}

	final String id = "i-" + UUID.randomUUID().toString().substring(0, 8);

	private final Store store;

	private final Transcript transcript;

	private final String service;

	private final String zone;

	private final int slots;

	private final Handler handler;

	private final ServerSocket server;

	private final AtomicInteger running = new AtomicInteger();

	private volatile boolean stopped;

	private int seq;

	Worker(String ip, Store store, Transcript transcript, String service, String zone, int slots, Handler handler)
			throws IOException {
		this.store = store;
		this.transcript = transcript;
		this.service = service;
		this.zone = zone;
		this.slots = slots;
		this.handler = handler;
		this.server = new ServerSocket(0, 256, InetAddress.getByName(ip));
		thread(this::accept);
		thread(this::beat);
	}

	private static void thread(Runnable task) {
		Thread thread = new Thread(task);
		thread.setDaemon(true);
		thread.start();
	}

	private void beat() {
		while (!this.stopped) {
			this.store.put("keyed.servers", this.id,
					("{\"service\":\"%s\",\"addr\":\"%s:%d\",\"zone\":\"%s\",\"version\":\"v1\",\"slots\":%d,"
							+ "\"state\":\"ready\",\"cold_left_ms\":0,\"seq\":%d}")
						.formatted(this.service, this.server.getInetAddress().getHostAddress(),
								this.server.getLocalPort(), this.zone, this.slots, this.seq++));
			sleep(1200);
		}
	}

	static void sleep(long millis) {
		try {
			Thread.sleep(millis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private void accept() {
		while (!this.stopped) {
			try {
				Socket socket = this.server.accept();
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
			for (Http.Message request = Http.head(in); request != null; request = Http.head(in)) {
				Http.body(request, in, false);
				answer(request, out);
			}
		}
		catch (Exception ex) {
			// The caller has left.
		}
	}

	private void answer(Http.Message request, OutputStream out) throws Exception {
		String requestId = request.header("Request-Id");
		String expected = request.header("Expect-Instance");
		String path = request.start.split(" ")[1];
		if (path.equals("/healthz")) {
			send(out, "200 OK", "Instance-Id: " + this.id + "\r\n", new byte[0]);
			return;
		}
		if (expected != null && !expected.equals(this.id)) {
			send(out, "421 Misdirected Request", "Not-Executed: 1\r\nInstance-Id: " + this.id + "\r\n"
					+ ((requestId != null) ? "Request-Id: " + requestId + "\r\n" : ""), new byte[0]);
			return;
		}
		if (requestId == null) {
			send(out, "400 Bad Request", "Not-Executed: 1\r\n", new byte[0]);
			return;
		}
		if (this.running.incrementAndGet() > this.slots) {
			this.running.decrementAndGet();
			send(out, "503 Service Unavailable", "Not-Executed: 1\r\nRequest-Id: " + requestId + "\r\n", new byte[0]);
			return;
		}
		byte[] body;
		try {
			this.transcript.ran(requestId, this.id, request);
			body = this.handler.run(request);
		}
		finally {
			this.running.decrementAndGet();
		}
		send(out, "200 OK", "Request-Id: " + requestId + "\r\nResponse-Seal: " + seal(requestId, body) + "\r\n"
				+ "Keep-Alive: timeout=10\r\n", body);
	}

	static String seal(String requestId, byte[] body) {
		return Integer.toHexString(31 * requestId.hashCode() + Arrays.hashCode(body));
	}

	private static void send(OutputStream out, String status, String headers, byte[] body) throws IOException {
		byte[] head = ("HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: " + body.length + "\r\n\r\n")
			.getBytes(StandardCharsets.ISO_8859_1);
		byte[] whole = Arrays.copyOf(head, head.length + body.length);
		System.arraycopy(body, 0, whole, head.length, body.length);
		out.write(whole);
		out.flush();
	}

	void stop() throws IOException {
		this.stopped = true;
		this.server.close();
	}

}
