package review2;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;

/** The little of HTTP/1.1 that the stand-ins need. */
public final class Http {

	public final String first;

	public final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);

	public byte[] body = new byte[0];

	private Http(String first) {
		this.first = first;
	}

	/** Reads a request or response head; null at the end of the channel. */
	public static Http head(InputStream in) throws IOException {
		String line = line(in);
		if (line == null) {
			return null;
		}
		Http message = new Http(line);
		for (line = line(in); line != null && !line.isEmpty(); line = line(in)) {
			int colon = line.indexOf(':');
			message.headers.put(line.substring(0, colon).strip(), line.substring(colon + 1).strip());
		}
		return message;
	}

	/** Reads a message whose body has a length or chunks. */
	public static Http whole(InputStream in) throws IOException {
		Http message = head(in);
		if (message == null) {
			return null;
		}
		if ("chunked".equalsIgnoreCase(message.headers.get("Transfer-Encoding"))) {
			ByteArrayOutputStream body = new ByteArrayOutputStream();
			while (true) {
				String text = line(in);
				if (text == null) {
					throw new EOFException("inside chunks");
				}
				int size = Integer.parseInt(text.split(";")[0].strip(), 16);
				body.write(exactly(in, size));
				line(in);
				if (size == 0) {
					break;
				}
			}
			message.body = body.toByteArray();
		}
		else {
			message.body = exactly(in, Integer.parseInt(message.headers.getOrDefault("Content-Length", "0")));
		}
		return message;
	}

	private static byte[] exactly(InputStream in, int length) throws IOException {
		byte[] bytes = in.readNBytes(length);
		if (bytes.length < length) {
			throw new EOFException("inside a body");
		}
		return bytes;
	}

	public static String line(InputStream in) throws IOException {
		StringBuilder line = new StringBuilder();
		int next = in.read();
		if (next < 0) {
			return null;
		}
		for (; next >= 0 && next != '\n'; next = in.read()) {
			if (next != '\r') {
				line.append((char) next);
			}
		}
		return line.toString();
	}

	public String path() {
		String target = this.first.split(" ")[1];
		int query = target.indexOf('?');
		return (query < 0) ? target : target.substring(0, query);
	}

	public String param(String name, String missing) {
		String target = this.first.split(" ")[1];
		int query = target.indexOf('?');
		if (query >= 0) {
			for (String pair : target.substring(query + 1).split("&")) {
				if (pair.startsWith(name + "=")) {
					return java.net.URLDecoder.decode(pair.substring(name.length() + 1), StandardCharsets.UTF_8);
				}
			}
		}
		return missing;
	}

	public int status() {
		return Integer.parseInt(this.first.split(" ")[1]);
	}

}
