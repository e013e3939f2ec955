package review2;

import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The platform's store: a log with topics of one partition. A copy of it can be taken, and
 * it can be away for a moment and come back from the copy, as the news pages say.
 */
public final class Store {

	private final Note note;

	private final ServerSocket listener;

	private Map<String, List<byte[]>> topics = new HashMap<>();

	private int era = 1;

	private boolean away;

	private final Set<Socket> open = ConcurrentHashMap.newKeySet();

	public Store(Note note) throws IOException {
		this.note = note;
		this.listener = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
		Threads.start("store", this::accept);
	}

	public String address() {
		return "127.0.0.1:" + this.listener.getLocalPort();
	}

	private void accept() throws IOException {
		while (true) {
			Socket socket = this.listener.accept();
			synchronized (this) {
				if (this.away) {
					socket.close();
					continue;
				}
				this.open.add(socket);
			}
			Threads.start("store-channel", () -> serve(socket));
		}
	}

	private void serve(Socket socket) throws IOException {
		try (socket) {
			socket.setTcpNoDelay(true);
			InputStream in = new java.io.BufferedInputStream(socket.getInputStream());
			for (Http call = Http.whole(in); call != null; call = Http.whole(in)) {
				if (!answer(call, socket.getOutputStream())) {
					return;
				}
			}
		}
		catch (IOException ex) {
			// The channel has ended.
		}
		finally {
			this.open.remove(socket);
		}
	}

	private boolean answer(Http call, OutputStream out) throws IOException {
		int status = 200;
		byte[] body;
		int seen;
		synchronized (this) {
			if (this.away) {
				return false;
			}
			seen = this.era;
			String topic = call.param("topic", "");
			switch (call.path()) {
				case "/sardineport/log-append" -> {
					String at = call.param("at", null);
					int end = topic(topic).size();
					if (at != null && Integer.parseInt(at) != end) {
						status = 412;
						body = ("{\"end\":" + end + "}").getBytes(StandardCharsets.UTF_8);
					}
					else {
						DataInputStream records = new DataInputStream(new ByteArrayInputStream(call.body));
						while (records.available() > 0) {
							byte[] content = new byte[records.readInt()];
							records.readFully(content);
							topic(topic).add(content);
						}
						notifyAll();
						body = ("{\"offset\":" + end + ",\"end\":" + topic(topic).size() + "}")
							.getBytes(StandardCharsets.UTF_8);
					}
				}
				case "/sardineport/log-read" -> {
					long until = System.nanoTime() + 1_000_000L * Long.parseLong(call.param("wait_ms", "0"));
					int from = Integer.parseInt(call.param("from", "0"));
					while (from == topic(topic).size() && !this.away && seen == this.era
							&& System.nanoTime() < until) {
						try {
							wait(Math.max(1, (until - System.nanoTime()) / 1_000_000));
						}
						catch (InterruptedException ex) {
							return false;
						}
					}
					if (this.away || seen != this.era) {
						return false;
					}
					List<byte[]> records = topic(topic);
					if (from > records.size()) {
						status = 410;
						body = "{\"first\":0}".getBytes(StandardCharsets.UTF_8);
						this.note.write("store: read of " + topic + " from " + from + " gets 410, its end is "
								+ records.size());
					}
					else {
						ByteArrayOutputStream bytes = new ByteArrayOutputStream();
						DataOutputStream data = new DataOutputStream(bytes);
						data.writeLong(records.size());
						data.writeLong(0);
						for (byte[] record : records.subList(from, records.size())) {
							data.writeInt(record.length);
							data.write(record);
						}
						body = bytes.toByteArray();
					}
				}
				case "/sardineport/log-newest" -> body = newest(topic(topic));
				default -> {
					status = 404;
					body = new byte[0];
				}
			}
		}
		out.write(("HTTP/1.1 " + status + " -\r\nStore-Era: " + seen + "\r\nContent-Length: " + body.length
				+ "\r\n\r\n")
			.getBytes(StandardCharsets.US_ASCII));
		out.write(body);
		out.flush();
		return true;
	}

	private static byte[] newest(List<byte[]> records) {
		Map<String, String> entries = new LinkedHashMap<>();
		for (int offset = 0; offset < records.size(); offset++) {
			byte[] record = records.get(offset);
			int keyLength = record[0] & 0xff;
			String key = new String(record, 1, keyLength, StandardCharsets.UTF_8);
			entries.remove(key);
			if (record.length > 1 + keyLength) {
				byte[] value = java.util.Arrays.copyOfRange(record, 1 + keyLength, record.length);
				entries.put(key, "{\"key\":\"" + key + "\",\"value\":\"" + Base64.getEncoder().encodeToString(value)
						+ "\",\"offset\":" + offset + "}");
			}
		}
		return ("{\"entries\":[" + String.join(",", entries.values()) + "],\"has_more\":false,\"end\":"
				+ records.size() + "}")
			.getBytes(StandardCharsets.UTF_8);
	}

	private List<byte[]> topic(String name) {
		return this.topics.computeIfAbsent(name, (key) -> new ArrayList<>());
	}

	/**
	 * Writes a keyed record, as the operator and the workers do.
	 * @return the offset, or -1 if the store is away
	 */
	public synchronized int put(String topic, String key, String value) {
		if (this.away) {
			return -1;
		}
		byte[] name = key.getBytes(StandardCharsets.UTF_8);
		byte[] content = value.getBytes(StandardCharsets.UTF_8);
		byte[] record = new byte[1 + name.length + content.length];
		record[0] = (byte) name.length;
		System.arraycopy(name, 0, record, 1, name.length);
		System.arraycopy(content, 0, record, 1 + name.length, content.length);
		topic(topic).add(record);
		notifyAll();
		return topic(topic).size() - 1;
	}

	/** Returns a copy of all topics as they are now. */
	public synchronized Map<String, List<byte[]>> copy() {
		Map<String, List<byte[]>> copy = new HashMap<>();
		this.topics.forEach((name, records) -> copy.put(name, new ArrayList<>(records)));
		return copy;
	}

	/** Closes all channels, and refuses new ones. */
	public void leave() throws IOException {
		synchronized (this) {
			this.away = true;
			notifyAll();
		}
		for (Socket socket : this.open) {
			socket.close();
		}
	}

	/** Comes back from a copy. */
	public synchronized void back(Map<String, List<byte[]>> copy) {
		this.topics = copy;
		this.era++;
		this.away = false;
	}

}
