import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;

/** A client's channel to a daemon. */
final class Channel implements AutoCloseable {

	final Socket socket = new Socket();

	final BufferedInputStream in;

	final OutputStream out;

	Channel(String address, int readTimeoutMillis) throws IOException {
		int colon = address.lastIndexOf(':');
		this.socket.connect(
				new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
				1000);
		this.socket.setTcpNoDelay(true);
		this.socket.setSoTimeout(readTimeoutMillis);
		this.in = new BufferedInputStream(this.socket.getInputStream());
		this.out = this.socket.getOutputStream();
	}

	/** Reads one answer; null if the daemon closed the channel before it. */
	Http.Message answer() throws IOException {
		Http.Message answer = Http.head(this.in);
		if (answer != null) {
			Http.body(answer, this.in, true);
		}
		return answer;
	}

	@Override
	public void close() throws IOException {
		this.socket.close();
	}

}
