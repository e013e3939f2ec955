import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;

/** Stand-in of the platform's store: topics with one partition, kept in memory, linearizable. */
final class Store {

	private record Entry(String key, byte[] value, byte[] raw) {
	}

	private final Map<String, List<Entry>> topics = new HashMap<>();

	private final HttpServer server;

	Store(String ip) throws IOException {
		this.server = HttpServer.create(new InetSocketAddress(ip, 0), 256);
		this.server.setExecutor(Executors.newCachedThreadPool((task) -> {
			Thread thread = new Thread(task);
			thread.setDaemon(true);
			return thread;
		}));
		this.server.createContext("/sardineport/log-newest", this::newest);
		this.server.createContext("/sardineport/log-read", this::read);
		this.server.createContext("/sardineport/log-append", this::append);
		this.server.start();
	}

	String address() {
		return this.server.getAddress().getAddress().getHostAddress() + ":" + this.server.getAddress().getPort();
	}

	/** Appends a record; its return is the confirmation. */
	synchronized void put(String topic, String key, String value) {
		byte[] keyBytes = key.getBytes(StandardCharsets.UTF_8);
		byte[] valueBytes = value.getBytes(StandardCharsets.UTF_8);
		ByteBuffer raw = ByteBuffer.allocate(1 + keyBytes.length + valueBytes.length);
		raw.put((byte) keyBytes.length).put(keyBytes).put(valueBytes);
		add(topic, raw.array());
	}

	private synchronized void add(String topic, byte[] raw) {
		Entry entry = new Entry("", raw, raw);
		if (topic.startsWith("keyed.")) {
			int length = raw[0] & 0xff;
			String key = new String(raw, 1, length, StandardCharsets.UTF_8);
			byte[] value = new byte[raw.length - 1 - length];
			System.arraycopy(raw, 1 + length, value, 0, value.length);
			entry = new Entry(key, value, raw);
		}
		this.topics.computeIfAbsent(topic, (name) -> new ArrayList<>()).add(entry);
		notifyAll();
	}

	private static Map<String, String> query(HttpExchange exchange) {
		Map<String, String> query = new HashMap<>();
		for (String pair : exchange.getRequestURI().getRawQuery().split("&")) {
			int equals = pair.indexOf('=');
			query.put(pair.substring(0, equals),
					URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
		}
		return query;
	}

	private static void send(HttpExchange exchange, int status, byte[] body) throws IOException {
		exchange.sendResponseHeaders(status, (body.length == 0) ? -1 : body.length);
		exchange.getResponseBody().write(body);
		exchange.close();
	}

	private void newest(HttpExchange exchange) throws IOException {
		StringBuilder json = new StringBuilder("{\"entries\":[");
		synchronized (this) {
			List<Entry> all = this.topics.getOrDefault(query(exchange).get("topic"), List.of());
			Map<String, Integer> newest = new LinkedHashMap<>();
			for (int i = 0; i < all.size(); i++) {
				newest.put(all.get(i).key(), i);
			}
			newest.values().removeIf((at) -> all.get(at).value().length == 0);
			String comma = "";
			for (int at : newest.values()) {
				json.append(comma).append("{\"key\":\"").append(all.get(at).key()).append("\",\"value\":\"")
					.append(Base64.getEncoder().encodeToString(all.get(at).value())).append("\",\"offset\":")
					.append(at).append('}');
				comma = ",";
			}
			json.append("],\"has_more\":false,\"end\":").append(all.size()).append('}');
		}
		send(exchange, 200, json.toString().getBytes(StandardCharsets.UTF_8));
	}

	private void read(HttpExchange exchange) throws IOException {
		Map<String, String> query = query(exchange);
		int from = Integer.parseInt(query.get("from"));
		long until = System.currentTimeMillis() + Long.parseLong(query.getOrDefault("wait_ms", "0"));
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		DataOutputStream out = new DataOutputStream(bytes);
		synchronized (this) {
			String topic = query.get("topic");
			long left = until - System.currentTimeMillis();
			while (this.topics.getOrDefault(topic, List.of()).size() <= from && left > 0) {
				try {
					wait(left);
				}
				catch (InterruptedException ex) {
					Thread.currentThread().interrupt();
				}
				left = until - System.currentTimeMillis();
			}
			List<Entry> all = this.topics.getOrDefault(topic, List.of());
			out.writeLong(all.size());
			out.writeLong(0);
			for (Entry entry : all.subList(Math.min(from, all.size()), all.size())) {
				out.writeInt(entry.raw().length);
				out.write(entry.raw());
			}
		}
		send(exchange, 200, bytes.toByteArray());
	}

	private void append(HttpExchange exchange) throws IOException {
		Map<String, String> query = query(exchange);
		ByteBuffer body = ByteBuffer.wrap(exchange.getRequestBody().readAllBytes());
		String answer;
		int status = 200;
		synchronized (this) {
			int end = this.topics.getOrDefault(query.get("topic"), List.of()).size();
			if (query.containsKey("at") && Integer.parseInt(query.get("at")) != end) {
				status = 412;
				answer = "{\"end\":" + end + "}";
			}
			else {
				int offset = end;
				while (body.hasRemaining()) {
					byte[] raw = new byte[body.getInt()];
					body.get(raw);
					add(query.get("topic"), raw);
					end++;
				}
				answer = "{\"offset\":" + offset + ",\"end\":" + end + "}";
			}
		}
		send(exchange, status, answer.getBytes(StandardCharsets.UTF_8));
	}

	void stop() {
		this.server.stop(0);
	}

}
