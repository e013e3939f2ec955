package review2;

import java.io.BufferedInputStream;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/**
 * A worker as a process of its own: answers with a length, or, below /cufi504/until-close/,
 * with neither a length nor chunks, in two halves.
 */
public final class UnframedWorker {

	public static final int BODY_BYTES = 800;

	/** Time between the halves of an answer without a length. */
	public static final int BETWEEN_MS = 400;

	private UnframedWorker() {
	}

	public static void main(String[] arguments) throws Exception {
		String id = arguments[0];
		ServerSocket listener = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
		System.out.println(listener.getLocalPort());
		while (true) {
			Socket socket = listener.accept();
			Threads.start("channel", () -> serve(socket, id));
		}
	}

	private static void serve(Socket socket, String id) throws Exception {
		try (socket) {
			socket.setTcpNoDelay(true);
			InputStream in = new BufferedInputStream(socket.getInputStream());
			OutputStream out = socket.getOutputStream();
			for (Http request = Http.whole(in); request != null; request = Http.whole(in)) {
				String head = "HTTP/1.1 200 OK\r\nRequest-Id: " + request.headers.get("Request-Id") + "\r\nInstance-Id: "
						+ id + "\r\nServer-Load: 1,0,6\r\nResponse-Seal: seal\r\nKeep-Alive: timeout=10\r\n";
				byte[] half = "b".repeat(BODY_BYTES / 2).getBytes(StandardCharsets.US_ASCII);
				if (request.path().startsWith("/cufi504/until-close/")) {
					out.write((head + "\r\n").getBytes(StandardCharsets.US_ASCII));
					out.write(half);
					out.flush();
					Threads.sleep(BETWEEN_MS);
					out.write(half);
					out.flush();
					return;
				}
				Threads.sleep(100);
				out.write((head + "Content-Length: " + BODY_BYTES + "\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
				out.write(half);
				out.write(half);
				out.flush();
			}
		}
	}

}
