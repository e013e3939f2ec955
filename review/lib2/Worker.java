package review2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/**
 * A worker of a service that tells its load. It registers itself in the store at each beat,
 * and says in all its answers that it is leaving once it is.
 */
public class Worker {

	public static final int BEAT_MS = 1200;

	/** Hears of each request that runs. */
	public interface Runs {

		void ran(Worker worker, Http request);

	}

	public final String id;

	private final Note note;

	private final Store store;

	private final String service;

	private final ServerSocket listener;

	private final Runs runs;

	/** Number of events of an answer; 0 if answers are no streams. */
	private final int events;

	private final java.util.Set<Socket> channels = java.util.concurrent.ConcurrentHashMap.newKeySet();

	private volatile boolean gone;

	private volatile long nextBeat;

	private final long born = System.currentTimeMillis();

	private volatile String state = "ready";

	private long seq;

	private int running;

	public Worker(Note note, Store store, String service, String id, Runs runs) throws IOException {
		this(note, store, service, id, runs, 0);
	}

	public Worker(Note note, Store store, String service, String id, Runs runs, int events) throws IOException {
		this.events = events;
		this.note = note;
		this.store = store;
		this.service = service;
		this.id = id;
		this.runs = runs;
		this.listener = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
		Threads.start("worker", this::accept);
	}

	/** Begins to write its entry at each beat. */
	public void beat(long firstAfterMs) {
		Threads.start("beat", () -> {
			Threads.sleep(firstAfterMs);
			while (!this.gone) {
				write();
				while (System.nanoTime() < this.nextBeat) {
					Threads.sleep(5);
				}
			}
		});
	}

	private synchronized boolean write() {
		this.seq++;
		this.nextBeat = System.nanoTime() + BEAT_MS * 1_000_000L;
		String entry = "{\"service\":\"%s\",\"addr\":\"127.0.0.1:%d\",\"zone\":\"lalitpur-hall\",\"version\":\"v1\",\"slots\":%d,\"state\":\"%s\",\"cold_left_ms\":0,\"born\":%d,\"seq\":%d%s}"
			.formatted(this.service, this.listener.getLocalPort(), (this.events > 0) ? 12 : 6, this.state, this.born, this.seq,
					(this.events > 0) ? ",\"stage\":\"colocated\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}]" : "");
		int offset = this.store.put("keyed.servers", this.id, entry);
		if (offset >= 0 && !this.state.equals("ready")) {
			this.note.write("worker " + this.id + ": the store accepts state " + this.state + " at offset " + offset);
		}
		return offset >= 0;
	}

	/**
	 * Reports that it leaves; serves on.
	 * @return whether the store has accepted the report
	 */
	public boolean drain() {
		this.state = "draining";
		return write();
	}

	/** Ends, with all that it still runs. */
	public void exit() throws IOException {
		this.gone = true;
		this.listener.close();
		this.note.write("worker " + this.id + ": exits with " + this.running + " runs");
		for (Socket socket : this.channels) {
			socket.setSoLinger(true, 0);
			socket.close();
		}
		this.store.put("keyed.servers", this.id, "");
	}

	private void accept() throws IOException {
		while (true) {
			Socket socket = this.listener.accept();
			this.channels.add(socket);
			Threads.start("worker-channel", () -> serve(socket));
		}
	}

	private void serve(Socket socket) {
		try (socket) {
			socket.setTcpNoDelay(true);
			InputStream in = new BufferedInputStream(socket.getInputStream());
			OutputStream out = socket.getOutputStream();
			for (Http request = Http.whole(in); request != null; request = Http.whole(in)) {
				String expected = request.headers.get("Expect-Instance");
				if (request.path().equals("/healthz")) {
					out.write(answer(this.state.equals("ready") ? 200 : 503, "", "", ""));
				}
				else if (expected != null && !expected.equals(this.id)) {
					out.write(answer(421, request.headers.get("Request-Id"), "Not-Executed: 1\r\n", ""));
				}
				else {
					synchronized (this) {
						this.running++;
					}
					this.runs.ran(this, request);
					if (this.events > 0) {
						stream(request.headers.get("Request-Id"), out);
						synchronized (this) {
							this.running--;
						}
						if (!this.state.equals("ready")) {
							return;
						}
						continue;
					}
					Threads.sleep(30);
					synchronized (this) {
						this.running--;
					}
					out.write(answer(200, request.headers.get("Request-Id"), "Response-Seal: seal\r\n",
							"answer of " + this.id));
				}
				out.flush();
			}
		}
		catch (IOException | InterruptedException ex) {
			// The channel has ended.
		}
		finally {
			this.channels.remove(socket);
		}
	}

	private void stream(String requestId, OutputStream out) throws IOException, InterruptedException {
		String leaving = this.state.equals("ready") ? "" : "Server-Leaving: 1\r\nConnection: close\r\n";
		out.write(("HTTP/1.1 200 OK\r\nRequest-Id: " + requestId + "\r\nInstance-Id: " + this.id
				+ "\r\nResponse-Seal: seal\r\nWeight-Versions: 1\r\nContent-Type: text/event-stream\r\n" + leaving
				+ "Transfer-Encoding: chunked\r\n\r\n")
			.getBytes(StandardCharsets.US_ASCII));
		for (int event = 1; event <= this.events; event++) {
			String text = "id: " + event + "\ndata: of " + this.id + "\n\n";
			out.write((Integer.toHexString(text.length()) + "\r\n" + text + "\r\n").getBytes(StandardCharsets.US_ASCII));
			out.flush();
			Threads.sleep(60);
		}
		out.write("0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
		out.flush();
	}

	private byte[] answer(int status, String requestId, String more, String body) {
		int now;
		synchronized (this) {
			now = this.running;
		}
		String leaving = this.state.equals("ready") ? "" : "Server-Leaving: 1\r\nConnection: close\r\n";
		String id = (requestId == null || requestId.isEmpty()) ? "" : "Request-Id: " + requestId + "\r\n";
		return ("HTTP/1.1 " + status + " -\r\n" + id + "Instance-Id: " + this.id + "\r\nServer-Load: " + now
				+ ",0,6\r\n" + leaving + more + "Content-Length: " + body.length() + "\r\n\r\n" + body)
			.getBytes(StandardCharsets.US_ASCII);
	}

}
