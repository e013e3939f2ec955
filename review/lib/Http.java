import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Reads HTTP/1.1 messages from a socket. */
final class Http {

	/** One message: its first line, its headers as sent, and its body. */
	static final class Message {

		String start = "";

		final List<String[]> headers = new ArrayList<>();

		byte[] body = new byte[0];

		/** Whether the body is whole. */
		boolean complete;

		String header(String name) {
			for (String[] header : this.headers) {
				if (header[0].equalsIgnoreCase(name)) {
					return header[1];
				}
			}
			return null;
		}

		int status() {
			return Integer.parseInt(this.start.split(" ")[1]);
		}

		String text() {
			return new String(this.body, StandardCharsets.UTF_8);
		}

	}

	private Http() {
	}

	/** Reads a line, without its end; null at the end of the channel. */
	static String line(InputStream in) throws IOException {
		ByteArrayOutputStream line = new ByteArrayOutputStream();
		int next = in.read();
		if (next < 0) {
			return null;
		}
		while (next >= 0 && next != '\n') {
			line.write(next);
			next = in.read();
		}
		String text = line.toString(StandardCharsets.ISO_8859_1);
		return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
	}

	/** Reads a head; null at the end of the channel. */
	static Message head(InputStream in) throws IOException {
		Message message = new Message();
		String line = line(in);
		if (line == null) {
			return null;
		}
		message.start = line;
		for (line = line(in); line != null && !line.isEmpty(); line = line(in)) {
			int colon = line.indexOf(':');
			message.headers.add(new String[] { line.substring(0, colon), line.substring(colon + 1).strip() });
		}
		if (line == null) {
			throw new EOFException("the channel ended within a head");
		}
		return message;
	}

	/** Reads the body of a request, or of a response that is not to HEAD. */
	static void body(Message message, InputStream in, boolean response) throws IOException {
		ByteArrayOutputStream body = new ByteArrayOutputStream();
		String encoding = message.header("Transfer-Encoding");
		String length = message.header("Content-Length");
		try {
			if (encoding != null && encoding.toLowerCase(Locale.ROOT).contains("chunked")) {
				message.complete = chunks(in, body);
			}
			else if (length != null) {
				byte[] bytes = in.readNBytes(Integer.parseInt(length));
				body.write(bytes);
				message.complete = bytes.length == Integer.parseInt(length);
			}
			else if (response) {
				in.transferTo(body);
				message.complete = true;
			}
			else {
				message.complete = true;
			}
		}
		finally {
			message.body = body.toByteArray();
		}
	}

	private static boolean chunks(InputStream in, ByteArrayOutputStream body) throws IOException {
		while (true) {
			String size = line(in);
			if (size == null) {
				return false;
			}
			int length = Integer.parseInt(size.split(";")[0].strip(), 16);
			if (length == 0) {
				for (String trailer = line(in); trailer != null && !trailer.isEmpty(); trailer = line(in)) {
					continue;
				}
				return true;
			}
			byte[] bytes = in.readNBytes(length);
			body.write(bytes);
			if (bytes.length < length || line(in) == null) {
				return false;
			}
		}
	}

}
