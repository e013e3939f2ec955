package review2;

import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Sends single requests, each on a channel of its own. */
public final class Caller {

	private Caller() {
	}

	public static Http call(String ip, int port, String request, int timeoutMs) throws IOException {
		try (Socket socket = new Socket()) {
			socket.connect(new InetSocketAddress(ip, port), 1000);
			socket.setSoTimeout(timeoutMs);
			socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
			socket.getOutputStream().flush();
			Http answer = Http.whole(new BufferedInputStream(socket.getInputStream()));
			if (answer == null) {
				throw new EOFException("no answer");
			}
			return answer;
		}
	}

	/** A request for a stream with a key. */
	public static String stream(String host, String path, String id, String key) {
		return "POST " + path + " HTTP/1.1\r\nHost: " + host + "\r\nRequest-Id: " + id
				+ "\r\nModel: m\r\nToken-Usage: 628,294\r\nPrompt-Prefix: 5c1e07a2:60," + Integer.toHexString(id.hashCode())
				+ ":568\r\nDeadline-Ms: 12000\r\nAuthorization: Token " + key
				+ "\r\nContent-Length: 10\r\n\r\n0123456789";
	}

	/** An idempotent request with a key. */
	public static String get(String host, String path, String id, String key) {
		return "GET " + path + " HTTP/1.1\r\nHost: " + host + "\r\nRequest-Id: " + id
				+ "\r\nDeadline-Ms: 1500\r\nAuthorization: Token " + key + "\r\n\r\n";
	}

}
